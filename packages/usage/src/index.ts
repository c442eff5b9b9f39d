/** Usage counters, windows, seals and reports. */
export * from './LocalCounters.js';
export * from './UsageAmounts.js';
export * from './HttpUsageReports.js';
export * from './PeerCounters.js';
export * from './UsageRecords.js';
export * from './UsageReportPort.js';
export * from './UsageService.js';
export * from './UsageWindows.js';
