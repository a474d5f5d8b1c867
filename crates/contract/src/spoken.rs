//! Which versions of a service are spoken: declared, or seen by gateways.

use std::collections::BTreeMap;

/// One customer's use of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Use {
    /// It said that it subscribes.
    pub declared: bool,
    /// Calls that gateways saw.
    pub calls: u64,
    /// The agreed time of the last one, in milliseconds; none: none was seen.
    pub last_ms: Option<u64>,
    /// How long repeats of one of its calls last, in milliseconds, where it said so.
    pub repeats_ms: Option<u64>,
}

/// Uses of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Spoken {
    /// By version, then by customer.
    pub uses: BTreeMap<String, BTreeMap<String, Use>>,
    /// Versions that were retired by an explicit word, and the agreed time of it.
    pub retired: BTreeMap<String, u64>,
}

/// Customers that are kept for one version; calls of further ones count for all of them together.
const MOST: usize = 10_000;
/// The customer that stands for further ones.
const OTHERS: &str = "(others)";

impl Spoken {
    fn of(&mut self, version: &str, customer: &str) -> &mut Use {
        let uses = self.uses.entry(version.to_string()).or_default();
        let full = uses.len() >= MOST && !uses.contains_key(customer);
        uses.entry(if full {
            OTHERS.into()
        } else {
            customer.to_string()
        })
        .or_default()
    }
    /// A customer subscribes to a version, or no longer does.
    pub fn declare(&mut self, version: &str, customer: &str, on: bool, repeats_ms: Option<u64>) {
        let of = self.of(version, customer);
        (of.declared, of.repeats_ms) = (on, repeats_ms);
    }
    /// Gateways saw calls.
    pub fn seen(&mut self, version: &str, customer: &str, calls: u64, now_ms: u64) {
        // What is seen after a version was retired is later than that, also within one step of the clock.
        let now_ms = self
            .retired
            .get(version)
            .map_or(now_ms, |at| now_ms.max(at + 1));
        let of = self.of(version, customer);
        of.calls += calls;
        of.last_ms = of.last_ms.max(Some(now_ms));
    }
    /// A version counts as spoken no more, whatever was seen until now.
    pub fn retire(&mut self, version: &str, now_ms: u64) {
        let uses = self.uses.get_mut(version);
        let last = uses
            .iter()
            .flat_map(|u| u.values())
            .filter_map(|u| u.last_ms)
            .max();
        self.retired.insert(
            version.to_string(),
            last.map_or(now_ms, |last| now_ms.max(last)),
        );
        uses.into_iter()
            .flat_map(BTreeMap::values_mut)
            .for_each(|u| u.declared = false);
    }
    /// Who speaks a version now: who declared it, and whose last call is younger than `dead_after_ms` and later than a word that retired
    /// it.
    pub fn speakers(&self, version: &str, now_ms: u64, dead_after_ms: u64) -> Vec<(String, Use)> {
        let retired = self.retired.get(version).copied();
        let speaks = |u: &Use| {
            let lately = u.last_ms.is_some_and(|at| {
                now_ms.saturating_sub(at) < dead_after_ms && retired.is_none_or(|r| at > r)
            });
            u.declared || lately
        };
        let uses = self.uses.get(version).into_iter().flatten();
        uses.filter(|(_, u)| speaks(u))
            .map(|(c, u)| (c.clone(), u.clone()))
            .collect()
    }
    /// Versions that somebody speaks.
    pub fn versions(&self, now_ms: u64, dead_after_ms: u64) -> Vec<String> {
        let spoken = |v: &&String| !self.speakers(v, now_ms, dead_after_ms).is_empty();
        self.uses.keys().filter(spoken).cloned().collect()
    }
    /// Retired versions that were called since: thought dead, and back.
    pub fn back(&self) -> Vec<String> {
        let back = |(version, at): (&String, &u64)| {
            let called = self
                .uses
                .get(version)?
                .values()
                .any(|u| u.last_ms > Some(*at));
            called.then(|| version.clone())
        };
        self.retired.iter().filter_map(back).collect()
    }
}
