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

/**
 * Records ten requests of cost 10 that took 100 ms each with two slots: a drain rate of 0.2 per millisecond.
 */
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

    it("serves higher priorities first", () =>
      doTest([createTicket("low", { priority: 2 }), createTicket("high", { priority: 0 })], "high", "low"));

    it("serves the earliest deadline within an organisation first", () =>
      doTest(
        [createTicket("late", { deadlineAt: 900 }), createTicket("soon", { deadlineAt: 500 })],
        "soon",
        "late",
      ));

    it("prevents an organisation with many requests from starving one with few", () => {
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

    it("divides service by cost instead of by the number of requests", () => {
      const costly = Array.from({ length: 3 }, (_, i) => createTicket(`costly${i}`, { cost: 30 }));
      const cheap = Array.from({ length: 6 }, (_, i) => createTicket(`cheap${i}`, { organisation: "b" }));
      const order = takeAll(fill([...costly, ...cheap]));
      expect(order.indexOf("cheap2")).toBeLessThan(order.indexOf("costly1"));
    });

    it("serves twice the cost to an organisation with twice the share", () => {
      const big = Array.from({ length: 30 }, (_, i) => createTicket(`big${i}`, { share: 2 }));
      const small = Array.from({ length: 30 }, (_, i) => createTicket(`small${i}`, { organisation: "b" }));
      const first = takeAll(fill([...big, ...small])).slice(0, 15);
      expect(first.filter((id) => id.startsWith("big"))).toHaveLength(10);
    });

    it("gives an organisation no credit for idle time", () => {
      const queue = fill(Array.from({ length: 10 }, (_, i) => createTicket(`a${i}`)));
      for (let i = 0; i < 8; i++) queue.takeNext("m");
      for (let i = 0; i < 4; i++) queue.add(createTicket(`b${i}`, { organisation: "b" }), 100);
      const order = takeAll(queue);
      expect(order.slice(0, 4).filter((id) => id.startsWith("b")).length).toBeLessThanOrEqual(3);
    });
  });

  describe("getNext", () => {
    it("returns the ticket that takeNext would take, without removing it", () => {
      const queue = fill([createTicket("x"), createTicket("y", { priority: 0 })]);
      expect(queue.getNext("m")?.id).toBe("y");
      expect(queue.length).toBe(2);
      expect(queue.takeNext("m")?.id).toBe("y");
    });
  });

  describe("add", () => {
    it("refuses a ticket beyond the maximum length and states when to retry", () => {
      const queue = addCompletions(fill([createTicket("a")], 1));
      expect(queue.add(createTicket("b"), 1)).toEqual({ reason: "queueFull", retryAfterMs: 200 });
    });
  });

  describe("getInfeasibility", () => {
    it("accepts any deadline while no drain rate is known", () => {
      expect(new AdmissionQueue().getInfeasibility(0, createTicket("x", { deadlineAt: 1 }))).toBeUndefined();
    });

    it("refuses a request whose service time exceeds its deadline", () => {
      const queue = addCompletions(new AdmissionQueue());
      expect(queue.getInfeasibility(0, createTicket("x", { deadlineAt: 99 }))?.reason).toBe("infeasible");
      expect(queue.getInfeasibility(0, createTicket("x", { deadlineAt: 101 }))).toBeUndefined();
    });

    it("includes the queueing time and returns the excess over the deadline as retry time", () => {
      const queue = addCompletions(fill(Array.from({ length: 40 }, (_, i) => createTicket(`w${i}`))));
      // The queued cost of 400 takes 2,000 ms at 0.2 per millisecond, followed by 100 ms of service.
      expect(queue.getInfeasibility(0, createTicket("x", { deadlineAt: 1_100 }))?.retryAfterMs).toBeCloseTo(
        1_000,
      );
    });

    it("does not count requests of a lower priority", () => {
      const queue = addCompletions(
        fill(Array.from({ length: 40 }, (_, i) => createTicket(`w${i}`, { priority: 5 }))),
      );
      expect(queue.getInfeasibility(0, createTicket("x", { deadlineAt: 200 }))).toBeUndefined();
    });

    it("expects no wait for an organisation without queued requests", () => {
      const queue = addCompletions(fill(Array.from({ length: 40 }, (_, i) => createTicket(`w${i}`))));
      expect(queue.getWaitMs(createTicket("x", { organisation: "b" }))).toBe(0);
    });
  });

  describe("takeExpired", () => {
    it("removes only the tickets that can no longer be answered in time", () => {
      const queue = addCompletions(fill([createTicket("soon", { deadlineAt: 500 }), createTicket("late")]));
      expect(queue.takeExpired(399)).toEqual([]);
      expect(queue.takeExpired(401).map(({ ticket }) => ticket.id)).toEqual(["soon"]);
      expect(takeAll(queue)).toEqual(["late"]);
    });
  });

  describe("remove", () => {
    it("removes a ticket only once", () => {
      const ticket = createTicket("x");
      const queue = fill([ticket]);
      expect(queue.remove(ticket)).toBe(true);
      expect(queue.remove(ticket)).toBe(false);
      expect(queue.length).toBe(0);
    });
  });
});
