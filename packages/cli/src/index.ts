/** The command line berylyoke. */
export {};
