// Tries the OpenAI client library of npm, unchanged, against a router. Run by
// hand, with the demo's daemon (or a fleet) up:
//   npm install openai && node tests/clients/openai.mjs URL KEY MODEL
import OpenAI from 'openai';

const [baseURL, apiKey, model] = process.argv.slice(2);
const client = new OpenAI({ baseURL: `${baseURL}/v1`, apiKey });
const messages = [{ role: 'user', content: 'When will the kelp be dry?' }];

const whole = await client.chat.completions.create({ model, messages, max_tokens: 8 });
console.log('whole:', whole.choices[0].message.content, whole.usage);

let text = '';
for await (const chunk of await client.chat.completions.create(
  { model, messages, max_tokens: 8, stream: true })) {
  text += chunk.choices[0].delta.content ?? '';
}
console.log('stream without usage:', text);

let usage;
for await (const chunk of await client.chat.completions.create(
  { model, messages, max_tokens: 8, stream: true, stream_options: { include_usage: true } })) {
  usage = chunk.usage ?? usage;
}
console.log('stream with usage:', usage);
if (text !== whole.choices[0].message.content) throw new Error('the texts differ');

try {
  await client.chat.completions.create({ model: 'nothing', messages });
} catch (error) {
  console.log('error:', error.status, error.code, error.type);
  if (error.code !== 'unknown_model') throw error;
}
