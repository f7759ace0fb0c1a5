//! What the rules ration: work for cold workers, orders to load, and tenants' shares.

use super::*;

/// Share of the cold budget used: workers differ, and some can do less than the mean worker seen.
const COLD_SAFETY: f64 = 0.65;

impl Policy {
    /// The cold budget: within the fall window a cold worker gets at most its multiple of what it can do,
    /// taken from what warm workers serve for this instance, so that the instances share it without talking.
    /// One below a call is kept in time: a turn in so many windows, by the seed, that lapses.
    pub(super) fn cold_room(&self, now: Micros, id: WorkerId, w: &Worker) -> bool {
        let s = &self.settings;
        let Some(started) = w.started else {
            return true;
        };
        let age = now.saturating_sub(started);
        if s.overload_multiple <= 0.0 || age >= s.slow_start_duration {
            return true;
        }
        let part = s.slow_start_floor
            + (1.0 - s.slow_start_floor) * age as f64 / s.slow_start_duration as f64;
        let budget =
            s.overload_multiple * part * self.bears * s.overload_window as f64 * COLD_SAFETY;
        if budget < 1.0 {
            let turn =
                s.overload_window as f64 / (0.75 * budget).max(1.0 / f64::from(s.instances.max(1)));
            let phase = rendezvous(FunctionId(self.seed), id) as f64 / u64::MAX as f64;
            let into = (phase + age as f64 / turn).fract() * turn;
            let fresh = w.sent.back().is_none_or(|t| *t as f64 + into < now as f64);
            return fresh && into <= s.overload_window as f64 * if self.calm { 2.0 } else { 0.25 };
        }
        let sent = w
            .sent
            .iter()
            .rev()
            .take_while(|t| **t + s.overload_window > now)
            .count() as f64;
        sent + 1.0 <= budget
    }

    /// The ration of load orders, counted at the very order, this one included. While a call has attempts to
    /// spare, many instances leave half of it to calls that have none and would be refused.
    pub(super) fn within_ration(&mut self, now: Micros, spare: bool) -> bool {
        let Some(ration) = self.settings.load_rate_limit else {
            return true;
        };
        // An order on the very edge of the window still counts, a call there no more.
        let orders = recent(&mut self.ordered, now, ration.window + 1) + 1.0;
        let calls = recent(&mut self.taken, now, ration.window);
        let part = if spare && self.first_cap < 1.0 {
            0.5
        } else {
            1.0
        };
        orders <= part * (ration.base_loads + ration.loads_per_request * calls)
    }

    /// Whether a tenant is past this instance's part of its share: a bucket of one second, or of a few calls.
    pub(super) fn past_share(&mut self, now: Micros, tenant: TenantId) -> bool {
        let bucket = self
            .buckets
            .get_mut(tenant.0 as usize)
            .filter(|(rate, ..)| *rate > 0.0);
        let Some((rate, level, at)) = bucket else {
            return false;
        };
        *level = (*level + (now - *at) as f64 / 1e6 * *rate).min(rate.max(SLACK));
        *at = now;
        let over = *level < 1.0;
        *level -= if over { 0.0 } else { 1.0 };
        over
    }

    /// An operator's tenants come and go while it runs; a bucket begins full, as at the start.
    pub(super) fn on_share(&mut self, now: Micros, tenant: TenantId, quota_per_s: f64) {
        let (place, rate) = (
            tenant.0 as usize,
            quota_per_s / f64::from(self.settings.instances.max(1)),
        );
        let missing = (place + 1).saturating_sub(self.buckets.len());
        self.buckets
            .extend(std::iter::repeat_n((0.0, 0.0, now), missing));
        self.buckets[place] = (rate, SLACK.max(rate), now);
    }
}
