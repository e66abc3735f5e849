// Gets the addresses of the entries from one entry, streams an answer, calls a service, and prints the
// results.
const [entryAddress] = process.argv.slice(2);
const headers = { "ploverstage-organisation": "caisse-atlas", "ploverstage-kind": "draft" };
const { addresses } = await (await fetch(`http://${entryAddress}/v1/addresses`)).json();
console.log(`addresses: ${addresses.map((entry) => entry.address).join(", ")}`);
const base = `http://${addresses[0].address}`;
const body = {
  model: "redacteur",
  stream: true,
  max_tokens: 8,
  messages: [{ role: "user", content: "draft the annual statement" }],
};

const answer = await callUntilServed();
let text = "";
let isWhole = false;
const decoder = new TextDecoder();
let rest = "";
for await (const chunk of answer.body) {
  const lines = (rest + decoder.decode(chunk, { stream: true })).split("\n");
  rest = lines.pop();
  for (const line of lines.filter((candidate) => candidate.startsWith("data: "))) {
    if (line === "data: [DONE]") isWhole = true;
    else text += JSON.parse(line.slice(6)).choices[0].delta.content;
  }
}
console.log(`streamed: ${text.trim()}`);
console.log(`  by ${answer.headers.get("ploverstage-replica")}, whole: ${isWhole}`);

const service = await fetch(`${base}/v1/services/guichet/balance?member=7`, { headers });
console.log(`service: ${service.status} ${await service.text()}`);
console.log(`  by ${service.headers.get("ploverstage-replica")}`);
if (!isWhole || service.status !== 200) process.exit(1);

/**
 * Repeats the request after the delay of each refusal, for up to 60 s, since replicas take some time to form.
 */
async function callUntilServed() {
  const endAt = Date.now() + 60_000;
  for (;;) {
    const response = await fetch(`${base}/v1/chat/completions`, {
      method: "POST",
      headers,
      body: JSON.stringify(body),
    });
    if (response.status === 200) return response;
    const refusal = await response.json();
    if (Date.now() > endAt) throw new Error(JSON.stringify(refusal));
    await new Promise((resolve) => setTimeout(resolve, Math.min(refusal.error.retry_after_ms ?? 500, 1_000)));
  }
}
