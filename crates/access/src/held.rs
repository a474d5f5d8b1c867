//! All sets that a gateway holds, and what they say of its calls.

use crate::compiled::{Call, Compiled};
use crate::hits::{By, Hits, Told};
use crate::set::{Action, RuleSet, Stale};
use rustc_hash::FxHashMap;

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It goes on.
    Goes,
    /// It is answered as not permitted, by this rule of that version. `stale`: the session has lapsed and the set says deny then.
    Denied {
        /// The rule's id.
        rule: String,
        /// The set's version.
        version: u64,
        /// Not a rule's word but that of a set whose gateway is cut off.
        stale: bool,
    },
}

/// Sets by customer.
#[derive(Debug, Default)]
pub struct Held {
    sets: FxHashMap<String, Compiled>,
    rules: usize,
    hits: Hits,
}

/// Rules of all sets together, and customers that have one.
pub const MOST_ALL: usize = 200_000;
/// See [`MOST_ALL`].
pub const MOST_CUSTOMERS: usize = 10_000;

impl Held {
    /// Takes a set over in place of an earlier one of its customer; an older version changes nothing. Whether it was taken.
    pub fn put(&mut self, set: RuleSet) -> bool {
        let before = self.sets.get(&set.customer);
        if before.is_some_and(|b| b.set().version >= set.version) {
            return false;
        }
        let left = before.map_or(0, |b| b.set().rules.len());
        let rules = self.rules - left + set.rules.len();
        if rules > MOST_ALL || before.is_none() && self.sets.len() >= MOST_CUSTOMERS {
            return false;
        }
        self.rules = rules;
        self.hits.begin(&set, before.map(Compiled::set));
        self.sets.insert(set.customer.clone(), Compiled::new(set));
        true
    }
    /// A customer has no set any more.
    pub fn remove(&mut self, customer: &str) {
        if let Some(set) = self.sets.remove(customer) {
            self.rules -= set.set().rules.len();
            self.hits.end(set.set());
        }
    }
    /// A customer's set.
    pub fn get(&self, customer: &str) -> Option<&Compiled> {
        self.sets.get(customer)
    }
    /// Customers with a set, in no order.
    pub fn customers(&self) -> impl Iterator<Item = &str> {
        self.sets.keys().map(String::as_str)
    }
    /// Rules of all sets.
    pub fn rules(&self) -> usize {
        self.rules
    }

    /// Decides a call at its arrival and counts the hit. `stands`: the session does.
    pub fn arrives(&mut self, customer: &str, call: &Call, stands: bool) -> Verdict {
        let Some((by, verdict)) = self.look(customer, call, stands) else {
            return Verdict::Goes;
        };
        self.hits.hit(customer, by);
        verdict
    }
    /// The same for what goes on already, uncounted: a stream under a set that has changed, or whose session lapsed.
    pub fn still_goes(&self, customer: &str, call: &Call, stands: bool) -> Verdict {
        self.look(customer, call, stands)
            .map_or(Verdict::Goes, |(_, verdict)| verdict)
    }

    fn look(&self, customer: &str, call: &Call, stands: bool) -> Option<(By, Verdict)> {
        let set = self.sets.get(customer)?;
        let version = set.set().version;
        if !stands && set.stale() == Stale::Deny {
            return Some((
                By::Stale,
                Verdict::Denied {
                    rule: "stale".into(),
                    version,
                    stale: true,
                },
            ));
        }
        let decision = set.decide(call);
        let by = decision.rule.map_or(By::Default, By::Rule);
        let verdict = match decision.action {
            Action::Allow => Verdict::Goes,
            Action::Deny => Verdict::Denied {
                rule: set.id(decision.rule).to_string(),
                version,
                stale: false,
            },
        };
        Some((by, verdict))
    }

    /// What moved since the last report, of at most so many customers, as cumulative counts.
    pub fn report(&mut self, most: usize) -> Vec<Told> {
        let Held { sets, hits, .. } = self;
        hits.report(most, |customer| sets.get(customer).map(Compiled::set))
    }
    /// The hits counted here.
    pub fn hits(&mut self) -> &mut Hits {
        &mut self.hits
    }
}
