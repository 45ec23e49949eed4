//! Whether the backend server may be handed a new flow now.

use crate::opaque::flows::flow::PendingOpener;
use crate::opaque::keeper::handing_on::MAX_HOPS;
use crate::opaque::keeper::opener_limits::OwnPlace;
use crate::opaque::keeper::openers::NotTaken;
use crate::opaque::keeper::{Keeper, Scene};
use crate::opaque::openers::opener_order::next_host;
use crate::opaque::packets::segment::FlowKey;

/// How often a silent or failing backend server is tried with an opener, in milliseconds.
const PROBE_MS: u64 = 200;
/// After how many agents an opener is taken also by one whose backend server fails requests: the others
/// do no better then.
const FAILING_HOPS: u8 = 2;

impl Keeper {
    pub(super) fn check_opener(
        &mut self,
        scene: &Scene<'_>,
        key: &FlowKey,
        opening: &PendingOpener,
        place: &OwnPlace,
    ) -> Result<(), NotTaken> {
        self.is_running()?;
        if scene.directory.service_for_flow(key) != Some(self.identity.service) {
            return Err(NotTaken::OtherService);
        }
        self.is_published(scene)?;
        if !self.has_cold_rate(scene) {
            return Err(NotTaken::ColdRate);
        }
        if self.silent_since_ms.is_some() {
            return self.probe(scene, NotTaken::Silent);
        }
        if self.is_stalled(scene.now_ms) && self.others_may_do_better(scene, key, opening) {
            if !self.may_probe_stalled(scene, key) {
                return Err(NotTaken::Stalled);
            }
            return self.probe(scene, NotTaken::Stalled);
        }
        if self.outcomes.is_failing(scene.now_ms) && self.others_may_do_better(scene, key, opening)
        {
            let routes = scene.directory.routes();
            if !routes.may_probe(key.called, self.identity.service) {
                return Err(NotTaken::Failing);
            }
            return self.probe(scene, NotTaken::Failing);
        }
        let busy = match place.deadline {
            Some(_) => self.flows.fresh_busy_requests(scene.now_ms),
            None => self.flows.busy_requests(),
        };
        if place.limit.is_some_and(|limit| f64::from(busy) >= limit) {
            return Err(NotTaken::Crowded);
        }
        if self.is_refilled(place.limit, scene.now_ms)
            && self.others_may_do_better(scene, key, opening)
        {
            return Err(NotTaken::Recovering);
        }
        Ok(())
    }

    /// Tells why no opener at all may be handed over now, whatever room there is.
    pub(super) fn admits_any(&self, scene: &Scene<'_>) -> Result<(), NotTaken> {
        self.is_running()?;
        self.is_published(scene)
    }

    fn is_running(&self) -> Result<(), NotTaken> {
        if self.leaving {
            return Err(NotTaken::Leaving);
        }
        if !self.backend_up {
            return Err(NotTaken::BackendDown);
        }
        Ok(())
    }

    fn is_published(&self, scene: &Scene<'_>) -> Result<(), NotTaken> {
        let published = scene.directory.local_backend(self.identity.backend);
        let published = published.filter(|own| own.service == self.identity.service);
        if !published.is_some_and(|own| own.takes_flows) {
            return Err(NotTaken::NotPublished);
        }
        if published.is_some_and(|own| own.is_evacuated) {
            return Err(NotTaken::Evacuated);
        }
        Ok(())
    }

    /// Tells whether the backend server is warm, or may be handed one more flow while it is cold.
    pub(super) fn has_cold_rate(&mut self, scene: &Scene<'_>) -> bool {
        let flows_per_s = self.cold_flows_per_s(scene);
        flows_per_s.is_none_or(|flows_per_s| self.cold_rate.has_token(flows_per_s, scene.now_ms))
    }

    /// Tells whether an opener should rather go to an agent that has not been offered it.
    fn others_may_do_better(
        &self,
        scene: &Scene<'_>,
        key: &FlowKey,
        opening: &PendingOpener,
    ) -> bool {
        let hops = opening.hops;
        let next = next_host(scene, self.identity.host, key, hops, MAX_HOPS);
        hops < FAILING_HOPS && next.is_some()
    }

    /// Lets an opener through now and then, to see whether the backend server works again.
    fn probe(&mut self, scene: &Scene<'_>, otherwise: NotTaken) -> Result<(), NotTaken> {
        if scene.now_ms < self.last_probe_ms + PROBE_MS {
            return Err(otherwise);
        }
        self.last_probe_ms = scene.now_ms;
        Ok(())
    }
}
