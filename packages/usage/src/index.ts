/** Usage counters, windows, seals and reports. */
export * from './CounterBook.js';
export * from './Figures.js';
export * from './HttpUsageReports.js';
export * from './PeerCounters.js';
export * from './UsageRecords.js';
export * from './UsageReportPort.js';
export * from './UsageService.js';
export * from './UsageWindows.js';
