// Waits until a URL answers with status 200, for one minute at most.
const [url] = process.argv.slice(2);
const endAt = Date.now() + 60_000;
for (;;) {
  const answer = await fetch(url).catch(() => undefined);
  if (answer?.ok) break;
  if (Date.now() > endAt) {
    console.error(`${url} did not answer 200 within a minute`);
    process.exit(1);
  }
  await new Promise((resolve) => setTimeout(resolve, 50));
}
