//! Replies of the counter that arrive after the end of the window that they count.
mod common;
use chalkdeck::api::*;
use common::*;
use std::collections::HashMap;

/// A plan with 100 units per second and a burst of 200, so a window lasts two seconds.
const PLAN: usize = 4;
const BURST: usize = 200;
const WINDOW: u64 = 2 * SECOND;
/// How long the replies are under way. The starts of the runs are this far apart, so a window ends meanwhile in one of them.
const REPLY_DELAY: u64 = 50 * MILLISECOND;

struct Gateway {
    harness: Harness,
    totals: HashMap<CounterKey, f64>,
}

impl Gateway {
    fn new(start: u64) -> Gateway {
        let mut settings = Settings {
            gateways: 1,
            ..settings()
        };
        settings.plans.push(plan(100.0, BURST as f64));
        let mut harness = Harness::new(settings, 64);
        harness.advance(start);
        Gateway {
            harness,
            totals: HashMap::new(),
        }
    }

    /// Sends a request of one unit; returns it with the engine's actions.
    fn request(&mut self) -> (RequestId, Vec<Action>) {
        self.harness.request(0, PLAN, 1, 1.0)
    }

    /// Replies to the counter calls among the actions; returns the actions that follow.
    fn reply_all(&mut self, actions: &[Action]) -> Vec<Action> {
        let calls = counter_calls(actions);
        calls
            .into_iter()
            .flat_map(|(key, _)| self.reply(key))
            .collect()
    }

    fn reply(&mut self, key: CounterKey) -> Vec<Action> {
        let total = self.totals.entry(key).or_default();
        *total += 1.0;
        let total = *total;
        self.harness.handle(Event::CounterReplied {
            key,
            outcome: Outcome::Ok,
            total,
        })
    }

    /// Sends requests whose counter calls are answered at once, ends their attempts, and returns how many are rejected.
    fn run(&mut self, count: usize) -> usize {
        let mut rejected = 0;
        for _ in 0..count {
            let (id, mut actions) = self.request();
            actions.extend(self.reply_all(&actions));
            rejected += usize::from(is_rejected(&actions, id));
            self.harness.handle(Event::ClientDisconnected(id));
        }
        rejected
    }
}

/// Guards against rejections with room in the quota: a total of the window that has just ended was subtracted from the bucket that had
/// already been charged for it.
#[test]
fn reply_arrives_after_the_end_of_its_window_then_the_request_is_admitted() {
    let mut crossings = 0;
    for start in (0..WINDOW).step_by(REPLY_DELAY as usize) {
        let mut gateway = Gateway::new(start);
        assert_eq!(gateway.run(110), 0, "start {start}");
        let late: Vec<_> = (0..20).map(|_| gateway.request()).collect();
        gateway.harness.advance(REPLY_DELAY);
        for (id, mut actions) in late {
            actions.extend(gateway.reply_all(&actions));
            assert!(!is_rejected(&actions, id), "start {start}");
        }
        assert_eq!(gateway.run(1), 0, "start {start}");
        crossings += usize::from(gateway.totals.len() > 1);
    }
    assert!(
        crossings > 0,
        "no window ended while replies were under way"
    );
}

/// Guards against a quota that is granted twice: units that a late reply shows still count in the next window.
#[test]
fn units_of_late_replies_then_count_in_the_next_window() {
    for start in (0..WINDOW).step_by(REPLY_DELAY as usize) {
        let mut gateway = Gateway::new(start);
        gateway.run(100);
        let late: Vec<_> = (0..80).map(|_| gateway.request()).collect();
        gateway.harness.advance(REPLY_DELAY);
        for (_, actions) in late {
            gateway.reply_all(&actions);
        }
        let rejected = gateway.run(100);
        // 180 units were used, at most ten were refilled meanwhile.
        assert!((60..=85).contains(&rejected), "start {start}: {rejected}");
    }
}
