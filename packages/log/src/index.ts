/** Client of the platform's append-only log: port, HTTP adapter, group commit and tail. */
export {};
