/** Checks of network addresses that other parties wrote. */

const MAX_PORT = 65_535;

/** Checks whether a text is a port to which a connection can be opened, without leading zeros. */
export function isPort(text: string): boolean {
  return /^[1-9]\d{0,4}$/.test(text) && Number(text) <= MAX_PORT;
}
