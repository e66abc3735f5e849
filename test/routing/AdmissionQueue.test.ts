import { describe, expect, it } from "vitest";
import { AdmissionQueue, type Ticket } from "../../src/routing";

function createTicket(id: string, change: Partial<Ticket> = {}): Ticket {
  return {
    id,
    target: "m",
    organisation: "a",
    share: 1,
    priority: 1,
    cost: 10,
    deadlineAt: 1_000_000,
    ...change,
  };
}

function fill(tickets: readonly Ticket[], maxLength = 100): AdmissionQueue {
  const queue = new AdmissionQueue();
  for (const ticket of tickets) queue.add(ticket, maxLength);
  return queue;
}

function takeAll(queue: AdmissionQueue): string[] {
  const ids: string[] = [];
  for (let next = queue.takeNext("m"); next !== undefined; next = queue.takeNext("m")) ids.push(next.id);
  return ids;
}

/** Ten requests of cost 10 that took 100 ms each, over two slots: 0.2 a millisecond. */
function addCompletions(queue: AdmissionQueue): AdmissionQueue {
  queue.setSlots("m", 2);
  for (let i = 0; i < 10; i++) queue.addCompletion("m", 10, 100);
  return queue;
}

describe("AdmissionQueue", () => {
  describe("takeNext", () => {
    function doTest(tickets: readonly Ticket[], ...expected: string[]) {
      expect(takeAll(fill(tickets))).toEqual(expected);
    }

    it("serves higher classes first", () =>
      doTest([createTicket("low", { priority: 2 }), createTicket("high", { priority: 0 })], "high", "low"));

    it("serves the earliest deadline of an organisation first", () =>
      doTest(
        [createTicket("late", { deadlineAt: 900 }), createTicket("soon", { deadlineAt: 500 })],
        "soon",
        "late",
      ));

    it("lets an organisation that calls much not starve one that calls little", () => {
      const many = Array.from({ length: 5 }, (_, i) => createTicket(`many${i}`));
      doTest(
        [...many, createTicket("few", { organisation: "b" })],
        "many0",
        "few",
        "many1",
        "many2",
        "many3",
        "many4",
      );
    });

    it("serves by share and by cost, not by count", () => {
      const costly = Array.from({ length: 3 }, (_, i) => createTicket(`costly${i}`, { cost: 30 }));
      const cheap = Array.from({ length: 6 }, (_, i) => createTicket(`cheap${i}`, { organisation: "b" }));
      const order = takeAll(fill([...costly, ...cheap]));
      expect(order.indexOf("cheap2")).toBeLessThan(order.indexOf("costly1"));
    });

    it("gives twice the share twice the cost", () => {
      const big = Array.from({ length: 30 }, (_, i) => createTicket(`big${i}`, { share: 2 }));
      const small = Array.from({ length: 30 }, (_, i) => createTicket(`small${i}`, { organisation: "b" }));
      const first = takeAll(fill([...big, ...small])).slice(0, 15);
      expect(first.filter((id) => id.startsWith("big"))).toHaveLength(10);
    });

    it("gives no credit for having been idle", () => {
      const queue = fill(Array.from({ length: 10 }, (_, i) => createTicket(`a${i}`)));
      for (let i = 0; i < 8; i++) queue.takeNext("m");
      for (let i = 0; i < 4; i++) queue.add(createTicket(`b${i}`, { organisation: "b" }), 100);
      const order = takeAll(queue);
      expect(order.slice(0, 4).filter((id) => id.startsWith("b")).length).toBeLessThanOrEqual(3);
    });
  });

  describe("getNext", () => {
    it("gives what takeNext takes, and takes nothing", () => {
      const queue = fill([createTicket("x"), createTicket("y", { priority: 0 })]);
      expect(queue.getNext("m")?.id).toBe("y");
      expect(queue.length).toBe(2);
      expect(queue.takeNext("m")?.id).toBe("y");
    });
  });

  describe("add", () => {
    it("refuses beyond its length, with when to come back", () => {
      const queue = addCompletions(fill([createTicket("a")], 1));
      expect(queue.add(createTicket("b"), 1)).toEqual({ reason: "queueFull", retryAfterMs: 200 });
    });
  });

  describe("getInfeasibility", () => {
    it("lets everything wait while nothing is known", () => {
      expect(new AdmissionQueue().getInfeasibility(0, createTicket("x", { deadlineAt: 1 }))).toBeUndefined();
    });

    it("refuses what takes longer than its deadline", () => {
      const queue = addCompletions(new AdmissionQueue());
      expect(queue.getInfeasibility(0, createTicket("x", { deadlineAt: 99 }))?.reason).toBe("infeasible");
      expect(queue.getInfeasibility(0, createTicket("x", { deadlineAt: 101 }))).toBeUndefined();
    });

    it("counts the wait, and says how much too late it would be", () => {
      const queue = addCompletions(fill(Array.from({ length: 40 }, (_, i) => createTicket(`w${i}`))));
      // 400 of cost at 0.2 a millisecond, then 100 ms of service.
      expect(queue.getInfeasibility(0, createTicket("x", { deadlineAt: 1_100 }))?.retryAfterMs).toBeCloseTo(
        1_000,
      );
    });

    it("does not count another class that comes after", () => {
      const queue = addCompletions(fill(Array.from({ length: 40 }, (_, i) => createTicket(`w${i}`, { priority: 5 }))));
      expect(queue.getInfeasibility(0, createTicket("x", { deadlineAt: 200 }))).toBeUndefined();
    });

    it("gives an organisation that waits for nothing its share of the rate", () => {
      const queue = addCompletions(fill(Array.from({ length: 40 }, (_, i) => createTicket(`w${i}`))));
      expect(queue.getWaitMs(createTicket("x", { organisation: "b" }))).toBe(0);
    });
  });

  describe("takeExpired", () => {
    it("takes out what can't be answered in time any more, and only that", () => {
      const queue = addCompletions(fill([createTicket("soon", { deadlineAt: 500 }), createTicket("late")]));
      expect(queue.takeExpired(399)).toEqual([]);
      expect(queue.takeExpired(401).map(({ ticket }) => ticket.id)).toEqual(["soon"]);
      expect(takeAll(queue)).toEqual(["late"]);
    });
  });

  describe("remove", () => {
    it("takes a ticket out once", () => {
      const ticket = createTicket("x");
      const queue = fill([ticket]);
      expect(queue.remove(ticket)).toBe(true);
      expect(queue.remove(ticket)).toBe(false);
      expect(queue.length).toBe(0);
    });
  });
});
