/** Keeps a map from growing without bound. */

/** Sets a key as the newest one of a map, and removes the oldest one beyond `maxSize` keys. */
export function setBounded<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  value: Value,
  maxSize: number,
): void {
  // Deleting the key first keeps the map in the order of the last change.
  map.delete(key);
  map.set(key, value);
  if (map.size > maxSize) map.delete(map.keys().next().value as Key);
}
