/**
 * Settings of a daemon, the operators' lists, and the fold that turns the configuration stream into
 * the configuration in force.
 */
export {};
