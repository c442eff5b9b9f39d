/** The daemon berylyoked: request path, operator interface, metrics and traces. */
export {};
