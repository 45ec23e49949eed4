//! Checks whether the backend server may be handed a new flow.

use crate::opaque::flow_agent::hand_on::MAX_HOPS;
use crate::opaque::flow_agent::opener_limits::OpenerLimits;
use crate::opaque::flow_agent::openers::NotTakenReason;
use crate::opaque::flow_agent::{AgentContext, FlowAgent};
use crate::opaque::flows::flow::PendingOpener;
use crate::opaque::openers::opener_order::next_host;
use crate::opaque::packets::segment::FlowKey;

/// The interval at which a silent or failing backend server is probed with an opener, in
/// milliseconds.
const PROBE_INTERVAL_MS: u64 = 200;
/// The number of hops from which an agent takes an opener although its backend server fails
/// requests, is stalled or recovers: the agents before it were no better.
const HOPS_TO_ACCEPT_UNHEALTHY: u8 = 2;

impl FlowAgent {
    /// Returns the reason as an error if the backend server can't be handed this opener now.
    pub(super) fn check_opener(
        &mut self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        opening: &PendingOpener,
        limits: &OpenerLimits,
    ) -> Result<(), NotTakenReason> {
        self.check_running()?;
        if context.directory.service_for_flow(key) != Some(self.identity.service) {
            return Err(NotTakenReason::OtherService);
        }
        self.check_published(context)?;
        if !self.has_cold_rate_room(context) {
            return Err(NotTakenReason::ColdRate);
        }
        if self.silent_since_ms.is_some() {
            return self.try_probe(context, NotTakenReason::Silent);
        }
        if self.is_stalled(context.now_ms) && self.should_try_others(context, key, opening) {
            if !self.may_probe_stalled(context, key) {
                return Err(NotTakenReason::Stalled);
            }
            return self.try_probe(context, NotTakenReason::Stalled);
        }
        if self.outcomes.is_failing(context.now_ms) && self.should_try_others(context, key, opening)
        {
            let routes = context.directory.routes();
            if !routes.may_probe(key.called, self.identity.service) {
                return Err(NotTakenReason::Failing);
            }
            return self.try_probe(context, NotTakenReason::Failing);
        }
        let busy = match limits.deadline {
            Some(_) => self.flows.fresh_busy_requests(context.now_ms),
            None => self.flows.busy_requests(),
        };
        if limits
            .max_busy
            .is_some_and(|limit| f64::from(busy) >= limit)
        {
            return Err(NotTakenReason::Crowded);
        }
        if self.has_reached_ramp_limit(limits.max_busy, context.now_ms)
            && self.should_try_others(context, key, opening)
        {
            return Err(NotTakenReason::Recovering);
        }
        Ok(())
    }

    /// Returns the reason as an error if the backend server takes no new flows at all, even with
    /// free slots.
    pub(super) fn check_takes_new_flows(
        &self,
        context: &AgentContext<'_>,
    ) -> Result<(), NotTakenReason> {
        self.check_running()?;
        self.check_published(context)
    }

    fn check_running(&self) -> Result<(), NotTakenReason> {
        if self.is_leaving {
            return Err(NotTakenReason::Leaving);
        }
        if !self.is_backend_up {
            return Err(NotTakenReason::BackendDown);
        }
        Ok(())
    }

    fn check_published(&self, context: &AgentContext<'_>) -> Result<(), NotTakenReason> {
        let published = context.directory.local_backend(self.identity.backend);
        let published = published.filter(|own| own.service == self.identity.service);
        if !published.is_some_and(|own| own.takes_flows) {
            return Err(NotTakenReason::NotPublished);
        }
        if published.is_some_and(|own| own.is_evacuated) {
            return Err(NotTakenReason::Evacuated);
        }
        Ok(())
    }

    /// Returns whether the backend server is warm, or may be handed one more flow while it is cold.
    pub(super) fn has_cold_rate_room(&mut self, context: &AgentContext<'_>) -> bool {
        let flows_per_s = self.cold_flows_per_s(context);
        flows_per_s.is_none_or(|flows_per_s| self.cold_rate.has_token(flows_per_s, context.now_ms))
    }

    /// Returns whether an opener should be handed on to an agent that has not checked it yet.
    fn should_try_others(
        &self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        opening: &PendingOpener,
    ) -> bool {
        let hops = opening.hops;
        let next = next_host(context, self.identity.host, key, hops, MAX_HOPS);
        hops < HOPS_TO_ACCEPT_UNHEALTHY && next.is_some()
    }

    /// Accepts an opener as a probe of whether the backend server works again, if the last probe
    /// was at least [`PROBE_INTERVAL_MS`] ago. Returns `reason` as an error if not.
    fn try_probe(
        &mut self,
        context: &AgentContext<'_>,
        reason: NotTakenReason,
    ) -> Result<(), NotTakenReason> {
        if context.now_ms < self.last_probe_ms + PROBE_INTERVAL_MS {
            return Err(reason);
        }
        self.last_probe_ms = context.now_ms;
        Ok(())
    }
}
