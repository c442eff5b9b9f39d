/**
 * Stand-in for the platform: the store's log (append, read, newest) and the duty interface. It
 * answers at once, executes each call exactly once and loses nothing.
 */
import * as http from 'node:http';

const LENGTH_BYTES = 4;
const READ_HEADER_BYTES = 16;

function encodeRecords(records) {
  return Buffer.concat(records.flatMap((record) => {
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(record.length);
    return [length, record];
  }));
}

function decodeRecords(bytes) {
  const records = [];
  let position = 0;
  while (position < bytes.length) {
    const end = position + LENGTH_BYTES + bytes.readUInt32BE(position);
    records.push(Buffer.from(bytes.subarray(position + LENGTH_BYTES, end)));
    position = end;
  }
  return records;
}

function encodeKeyed(key, value) {
  const name = Buffer.from(key);
  return Buffer.concat([Buffer.from([name.length]), name, value]);
}

/** Starts the platform on a loopback address; resolves when it listens. */
export async function startPlatform(host) {
  const logs = new Map();
  const newest = new Map();
  const waiting = new Set();
  const usageReports = [];
  const getLog = (name) => {
    if (!logs.has(name)) logs.set(name, []);
    return logs.get(name);
  };
  const noteNewest = (topic, record, offset) => {
    if (!topic.startsWith('keyed.')) return;
    const end = 1 + record[0];
    const key = record.subarray(1, end).toString();
    if (!newest.has(topic)) newest.set(topic, new Map());
    if (record.length === end) newest.get(topic).delete(key);
    else {
      const value = record.subarray(end).toString('base64');
      newest.get(topic).set(key, { key, offset, value });
    }
  };
  const append = (topic, part, records) => {
    const log = getLog(`${topic}/${part}`);
    const offset = log.length;
    records.forEach((record, index) => {
      log.push(record);
      noteNewest(topic, record, offset + index);
    });
    [...waiting].forEach((check) => check());
    return offset;
  };
  const answerJson = (response, status, body) => {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  };
  const handlers = {
    '/usage': (query, body, request, response) => {
      usageReports.push(JSON.parse(body.toString()));
      answerJson(response, 200, {});
    },
    '/v1/log-append': (query, body, request, response) => {
      const log = getLog(`${query.get('topic')}/${query.get('part')}`);
      const at = query.get('at');
      if (at !== null && Number(at) !== log.length) {
        answerJson(response, 412, { end: log.length });
        return;
      }
      const offset = append(query.get('topic'), query.get('part'), decodeRecords(body));
      answerJson(response, 200, { end: log.length, offset });
    },
    '/v1/log-newest': (query, body, request, response) => answerJson(response, 200, {
      end: getLog(`${query.get('topic')}/0`).length,
      hasMore: false,
      items: [...newest.get(query.get('topic'))?.values() ?? []],
    }),
    '/v1/log-read': (query, body, request, response) => {
      const log = getLog(`${query.get('topic')}/${query.get('part')}`);
      const from = Number(query.get('from'));
      const answer = () => {
        const header = Buffer.alloc(READ_HEADER_BYTES);
        header.writeBigUInt64BE(BigInt(log.length));
        response.writeHead(200);
        response.end(Buffer.concat([header, encodeRecords(log.slice(from))]));
      };
      const waitMs = Number(query.get('waitMs') ?? 0);
      if (log.length > from || waitMs === 0) {
        answer();
        return;
      }
      const wait = {};
      const finish = () => {
        clearTimeout(wait.timer);
        waiting.delete(wait.check);
        if (!response.destroyed) answer();
      };
      wait.check = () => log.length > from && finish();
      wait.timer = setTimeout(finish, waitMs);
      waiting.add(wait.check);
    },
  };
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const { pathname, searchParams } = new URL(request.url, 'http://platform');
      const handle = handlers[pathname];
      if (handle === undefined) answerJson(response, 404, {});
      else handle(searchParams, Buffer.concat(chunks), request, response);
    });
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
    usageReports,
    writeKey: (topic, key, value) => append(topic, 0, [
      encodeKeyed(key, Buffer.from(JSON.stringify(value))),
    ]),
  };
}
