import * as Vitest from 'vitest';
import * as Rendezvous from '../../Rendezvous.js';

const { describe, expect, test } = Vitest;

describe('rankCandidates', () => {
  const names = ['a', 'b', 'c', 'd', 'e'];

  test('gives the same ranking for any order of the candidates', () => {
    const ranked = Rendezvous.rankCandidates('key', names);
    expect(Rendezvous.rankCandidates('key', [...names].reverse())).toEqual(ranked);
  });

  test('keeps the order of the other candidates when one is lost', () => {
    const ranked = Rendezvous.rankCandidates('key', names);
    const lostCandidate = ranked[2];
    expect(Rendezvous.rankCandidates('key', names.filter((name) => name !== lostCandidate)))
      .toEqual(ranked.filter((name) => name !== lostCandidate));
  });
});
