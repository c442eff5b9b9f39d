import * as Vitest from 'vitest';
import * as Rendezvous from '../../Rendezvous.js';

const { describe, expect, test } = Vitest;

describe('rankCandidates', () => {
  const names = ['a', 'b', 'c', 'd', 'e'];

  test('ranks alike whatever the order of the candidates', () => {
    const ranked = Rendezvous.rankCandidates('key', names);
    expect(Rendezvous.rankCandidates('key', [...names].reverse())).toEqual(ranked);
  });

  test('keeps the order of the others when one candidate is lost', () => {
    const ranked = Rendezvous.rankCandidates('key', names);
    const lost = ranked[2];
    expect(Rendezvous.rankCandidates('key', names.filter((name) => name !== lost)))
      .toEqual(ranked.filter((name) => name !== lost));
  });
});
