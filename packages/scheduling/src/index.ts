/** Pure decisions: admission, fair queue, choice of backend server, retry budget, purchases. */
export {};
