// Sends thousands of queries through @gizmodata/gizmosql-client. Each must get exactly one final response, and the
// nodes' records must show that no request had concurrent attempts. The test starts the gateway and the stand-in nodes
// on loopback, from the program whose path is in the environment variable SABLELINK.
'use strict';

const { test, before, after } = require('node:test');
const assert = require('node:assert');
const { spawn, spawnSync } = require('node:child_process');
const fs = require('node:fs');
const net = require('node:net');
const os = require('node:os');
const path = require('node:path');
const zlib = require('node:zlib');
const { FlightSQLClient } = require('@gizmodata/gizmosql-client');

const program = process.env.SABLELINK || path.join(__dirname, '../../build-test/sablelink');
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'sablelink-interop-'));
const children = [];
let port = 0;
let gateway;

function freePort() {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.on('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const taken = server.address().port;
      server.close(() => resolve(taken));
    });
  });
}

function start(args) {
  return new Promise((resolve, reject) => {
    const child = spawn(program, args, { stdio: ['ignore', 'pipe', 'inherit'] });
    children.push(child);
    let said = '';
    child.stdout.on('data', (data) => {
      said += data;
      if (said.includes('ready\n')) resolve(child);
    });
    child.on('error', reject);
    child.on('exit', (code) => reject(new Error(`${args.join(' ')} ended with ${code}`)));
  });
}

function stop(child) {
  return new Promise((resolve) => {
    child.removeAllListeners('exit');
    child.on('exit', (code) => resolve(code));
    child.kill('SIGTERM');
  });
}

before(async () => {
  let nodes = '';
  for (let i = 0; i < 4; ++i) {
    const at = await freePort();
    const file = path.join(folder, `n${i}.toml`);
    fs.writeFileSync(
      file,
      `[node]\nname = "n${i}"\nlisten = "127.0.0.1:${at}"\nrecord = "${folder}/n${i}.rec"\n[engine]\ncores = 8\n`,
    );
    await start(['node', '--config', file]);
    nodes += `[[node]]\nname = "n${i}"\naddress = "127.0.0.1:${at}"\n`;
  }
  port = await freePort();
  const file = path.join(folder, 'g.toml');
  fs.writeFileSync(
    file,
    `[gateway]\nname = "g"\nlisten = "127.0.0.1:${port}"\nlog_level = "warn"\n[[kind]]\nname = "std"\ncores = 8\n` +
      '[[class]]\nname = "query"\naim = "2s"\ndeadline = "20s"\nlate_worth = 0.5\n' +
      '[[class]]\nname = "plan"\naim = "250ms"\ndeadline = "5s"\n[planning]\nclass = "plan"\n' +
      `[[table]]\nname = "gallery"\n[[table]]\nname = "photo"\nschema = "archive"\n${nodes}`,
  );
  gateway = await start(['gateway', '--config', file]);
});

after(async () => {
  for (const child of children.reverse()) if (child.exitCode === null) await stop(child);
  fs.rmSync(folder, { recursive: true, force: true });
});

function client() {
  return new FlightSQLClient({ host: '127.0.0.1', port, plaintext: true, username: 'desk', password: 'x' });
}

const ANSWER_MS = 30000;

// Returns the result of a query, its error, or that there was no response in time. A promise settles only once and so
// can't show a second response; the last test checks the nodes' records for that instead.
function answerOf(work) {
  let timer;
  const late = new Promise((resolve) => {
    timer = setTimeout(() => resolve({ unanswered: true }), ANSWER_MS);
  });
  const answered = work.then(
    (table) => ({ table }),
    (error) => ({ error }),
  );
  return Promise.race([answered, late]).finally(() => clearTimeout(timer));
}

// The statement alone determines the result of a stand-in node (src/nodes/content.h), so every row is compared.
function checkAnswer(table, statement, rows) {
  assert.strictEqual(table.numRows, rows, statement);
  const begun = zlib.crc32(`${statement}#`);
  const all = statement.startsWith('SELECT *');
  for (let row = 0; row < rows; row += 1) {
    const mark = zlib.crc32(String(row), begun);
    if (!all) {
      assert.strictEqual(Number(table.getChild('column_1').get(row)), mark + 1, statement);
      continue;
    }
    const label = `gallery ${row} ${mark.toString(16).padStart(8, '0')}`;
    assert.strictEqual(Number(table.getChild('id').get(row)), row, statement);
    assert.strictEqual(table.getChild('label').get(row), row + 1 < rows ? label : `${label} last of ${rows}`);
    assert.strictEqual(table.getChild('weight').get(row), row % 7 === 6 ? null : row / 2);
  }
}

async function many(count, width, statement, check) {
  const clients = Array.from({ length: 4 }, client);
  let next = 0;
  const outcomes = { served: 0, failed: 0, unanswered: 0 };
  async function worker(c) {
    while (next < count) {
      const n = next++;
      const answer = await answerOf(c.execute(statement(n)));
      if (answer.unanswered) {
        outcomes.unanswered += 1;
      } else if (answer.error) {
        outcomes.failed += 1;
        outcomes.last = answer.error.message;
      } else {
        check(answer.table, statement(n), n);
        outcomes.served += 1;
      }
    }
  }
  await Promise.all(Array.from({ length: width }, (_, i) => worker(clients[i % clients.length])));
  await Promise.all(clients.map((c) => c.close()));
  return outcomes;
}

test('two thousand queries come back whole', async () => {
  const outcomes = await many(
    2000,
    32,
    (n) => `SELECT * FROM gallery WHERE id = ${n} /*+ work=2ms rows=${n % 40} */`,
    (table, statement, n) => checkAnswer(table, statement, n % 40),
  );
  assert.strictEqual(outcomes.unanswered, 0);
  assert.strictEqual(outcomes.served, 2000, outcomes.last);
});

test('a thousand queries with lost, broken and refused attempts each get one answer', async () => {
  const mishaps = ['reset', 'error', 'refuse', 'break', 'lost'];
  const outcomes = await many(
    1000,
    32,
    (n) => `SELECT 1 /*+ work=2ms rows=3 ${n % 4 === 0 ? `mishap=${mishaps[(n / 4) % 5]} on_attempt=0` : ''} */`,
    (table, statement) => checkAnswer(table, statement, 3),
  );
  assert.strictEqual(outcomes.unanswered, 0);
  assert.ok(outcomes.served >= 950, `${outcomes.served} served; ${outcomes.last}`);
});

test('a wrong statement is told as what it is', async () => {
  const c = client();
  await assert.rejects(c.execute('SELECT 1 /*+ mishap=statement */'), /syntax error/);
  await assert.rejects(c.execute(''), /the statement is empty/);
  await c.close();
});

test('metadata is read by the library', async () => {
  const c = client();
  assert.deepStrictEqual(Array.from(await c.getCatalogs()), ['default']);
  assert.deepStrictEqual((await c.getSchemas()).map((s) => s.schema), ['archive', 'main']);
  assert.deepStrictEqual((await c.getTables()).map((t) => t.tableName), ['photo', 'gallery']);
  assert.deepStrictEqual(Array.from(await c.getTableTypes()), ['TABLE']);
  const info = await c.getSqlInfo();
  assert.strictEqual(info.get(0), 'sablelink');
  assert.strictEqual(info.get(4), true);
  await c.close();
});

test('up says ready, serves, and ends cleanly on SIGTERM with a query out', async () => {
  const at = await freePort();
  const up = await start(['up', '--listen', `127.0.0.1:${at}`]);
  const c = new FlightSQLClient({ host: '127.0.0.1', port: at, plaintext: true });
  const held = c.execute('SELECT 1 /*+ work=300ms rows=2 */');
  await c.execute('SELECT 1');
  const code = stop(up);
  assert.strictEqual((await held).numRows, 2);
  assert.strictEqual(await code, 0);
  await c.close();
});

test('a gateway told to end answers what is out, refuses what is new and exits with 0', async () => {
  const c = client();
  const late = client();
  await late.execute('SELECT 1');
  const held = c.execute('SELECT 1 /*+ work=600ms rows=2 */');
  await c.execute('SELECT 1');
  const code = stop(gateway);
  await new Promise((resolve) => setTimeout(resolve, 200));
  await assert.rejects(late.execute('SELECT 1'), /stopping|UNAVAILABLE|connect/i);
  assert.strictEqual((await held).numRows, 2);
  assert.strictEqual(await code, 0);
  await c.close().catch(() => {});
  await late.close().catch(() => {});
});

test('the records of the nodes show one attempt at a time and none sent twice', () => {
  const records = [0, 1, 2, 3].map((i) => path.join(folder, `n${i}.rec`));
  const found = spawnSync(program, ['audit', ...records], { encoding: 'utf8' });
  assert.strictEqual(found.status, 0, found.stdout + found.stderr);
  assert.match(found.stdout, /audit: clean/);
  assert.match(found.stdout, /attempts (3[0-9]{3}|[4-9][0-9]{3})/);
});
