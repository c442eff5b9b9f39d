/** Claims for calls that may not be repeated. */
export {};
