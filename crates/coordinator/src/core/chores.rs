//! What the keeper that leads sees to: the agreed time, sessions that lapse, duties that even out.

use super::{ForWhom, Keeper};
use crate::state::{REGISTRAR, SITE_WORDS, SPEAKS, TALLY};
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_time::Timestamp;
use wire::command::What;

/// How often the agreed time is moved on, in microseconds.
const TICK: u64 = 500_000;

impl Keeper {
    pub(super) fn chores(&mut self) {
        if !self.is_configured() {
            return;
        }
        if !self.spoke {
            self.spoke = true;
            let speaks = wire::Speaks {
                pid: self.own(),
                speaks: SPEAKS,
                epoch: self.set.epoch,
                cluster: self.set.incarnation,
            };
            self.put(What::Speaks(speaks), ForWhom::Nobody);
        }
        if !self.leads() || self.now < self.ticked_at + TICK {
            return;
        }
        let gone_ms = (self.now - self.ticked_at) / 1_000;
        self.ticked_at = self.now;
        // Since it was last moved on here; a leader that is new counts from its own last look.
        let time_ms = self.state.time_ms + gone_ms.min(2 * TICK / 1_000);
        self.put(What::Tick(wire::Tick { time_ms }), ForWhom::Nobody);
        self.ensure_duties();
        for expired in self
            .failure_detector
            .expired(Timestamp::from_micros(self.now))
        {
            if self.state.session(expired.session.0).is_some() {
                let lapse = wire::Lapse {
                    session: expired.session.0,
                    renewed: expired.log_index,
                };
                self.put(What::Lapse(lapse), ForWhom::Nobody);
            } else {
                self.failure_detector.forget(expired.session);
            }
        }
        if let Some(of) = self.state.wants_move(self.set.move_ms) {
            self.put(What::Move(of), ForWhom::Nobody);
        }
    }

    fn ensure_duties(&mut self) {
        let own = self.set.duties.clone();
        let wanted = [REGISTRAR, TALLY, SITE_WORDS]
            .map(String::from)
            .into_iter()
            .chain(own);
        let missing = wanted.filter(|name| !self.state.duties().any(|d| d.name == *name));
        for duty in missing.collect::<Vec<_>>() {
            self.put(What::Ensure(wire::Ensure { duty }), ForWhom::Nobody);
        }
    }
}
