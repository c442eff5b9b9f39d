/** Undo functions that registrations hand back. */

/** Reverts one registration. Calling it again has no effect. */
export type Undo = () => void;

/** Merges undo functions into one that runs them in reverse order, once. */
export function mergeUndos(...undos: readonly Undo[]): Undo {
  let pending = [...undos];
  return () => {
    const current = pending;
    pending = [];
    current.reverse().forEach((undo) => undo());
  };
}
