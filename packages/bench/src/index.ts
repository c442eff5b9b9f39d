/** Measuring command and capacity slopes. */
export {};
