/** Small fakes of the platform's interfaces, each with a table of faults, and the demo. */
export {};
