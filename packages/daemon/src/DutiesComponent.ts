/**
 * Component that competes for the leases of the duties that one daemon at a time carries out, and
 * sends fenced orders while this daemon holds the lease `ordering`.
 */
import * as Core from '@berylyoke/core';
import * as Duties from '@berylyoke/duties';
import * as Effect from 'effect/Effect';
import type * as DaemonContext from './DaemonContext.js';

type Leases = Readonly<Record<Duties.LeaseName, Duties.LeaseService>>;

function createLeases(context: DaemonContext.DaemonContext, logger: Core.Logger): Leases {
  const { platform, timing } = context.settings;
  const createLease = (lease: Duties.LeaseName, isConfigured: boolean): Duties.LeaseService => (
    Duties.createLeaseService({
      clock: context.clock,
      // Without the interface that a duty needs, this daemon could hold its lease but not carry
      // out the duty.
      isCandidate: () => isConfigured && !context.isDraining(),
      lease,
      log: context.log,
      logger,
      timing: Duties.buildLeaseTiming(
        timing.leaseTermMs,
        timing.orderDeadlineMs,
        timing.leaseMarginMs,
      ),
    })
  );
  return {
    ordering: createLease('ordering', platform.orderingUrl !== undefined),
    reporting: createLease('reporting', platform.usageUrl !== undefined),
    snapshots: createLease('snapshots', true),
  };
}

function createOrders(
  context: DaemonContext.DaemonContext,
  lease: Duties.LeaseService,
  logger: Core.Logger,
): Duties.OrderService | undefined {
  const { platform, timing } = context.settings;
  if (platform.orderingUrl === undefined) return undefined;
  return Duties.createOrderService({
    engines: Duties.createHttpEngineOrders(),
    lease,
    log: context.log,
    logger,
    orderDeadlineMs: timing.orderDeadlineMs,
    ordering: Duties.createHttpOrdering(platform.orderingUrl),
  });
}

/** Registers the lease services and the order service. */
export function registerDutiesComponent(context: DaemonContext.DaemonContext): Core.Cleanup {
  const logger = Core.getPartLogger(context.logger, 'duties');
  const leases = createLeases(context, logger);
  const orders = createOrders(context, leases.ordering, logger);
  const leaseServices = Object.values(leases);
  return Core.mergeCleanups(
    ...leaseServices.map((service) => service.close),
    () => orders?.close(),
    context.ports.register('duties', {
      getAuthority: (lease) => leases[lease].getAuthority(),
      listOpenOrders: () => orders?.listOpenOrders() ?? [],
      registerListener: (lease, listener) => leases[lease].registerListener(listener),
      sendOrder: (target) => orders?.sendOrder(target) ?? Effect.fail(new Duties.OrderError({
        detail: 'no ordering interface is configured', orderId: '', reason: 'not-holder',
      })),
    }),
    context.ports.register('reporting', { getAuthority: leases.reporting.getAuthority }),
    context.registerStatusSection('duties', () => ({
      leases: leaseServices.map((service) => service.getStatus()),
      openOrders: orders?.listOpenOrders().length ?? 0,
    })),
    context.registerDrainHook('duties', async () => {
      await Promise.all(leaseServices.map((service) => service.stop()));
    }),
  );
}
