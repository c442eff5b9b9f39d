/** Usage counters, windows, seals and reports. */
export {};
