//! A set made ready for many calls: candidates by path, then the first that matches.

use crate::set::{Action, Rule, RuleSet, Stale};
use rustc_hash::FxHashMap;
use std::cell::RefCell;

/// What is known of a call at its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Call<'a> {
    /// The caller's region; empty: not known, and no rule that names regions matches.
    pub caller: &'a str,
    /// The gateway's.
    pub gateway: &'a str,
    /// The path; on the limits front its command, after a `/`.
    pub path: &'a str,
    /// The class.
    pub class: &'a str,
}

/// What a set says of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Decision {
    /// Whether it goes on.
    pub action: Action,
    /// The rule's place; none: the default.
    pub rule: Option<u32>,
}

/// Decisions that are remembered of one set.
const REMEMBERED: usize = 4_096;

/// A call that came, and what was decided.
type Remembered = (Box<[String; 4]>, Decision);

/// A set ready for calls.
#[derive(Debug)]
pub struct Compiled {
    set: RuleSet,
    /// Places of rules by whole paths, by beginnings, and of those for every path; each in order.
    whole: FxHashMap<String, Vec<u32>>,
    begins: FxHashMap<String, Vec<u32>>,
    /// Lengths of the beginnings.
    lengths: Vec<usize>,
    every: Vec<u32>,
    /// Decisions of calls like those that came: an equal call hears the same.
    known: RefCell<FxHashMap<u64, Remembered>>,
}

fn names(values: &[String], value: &str) -> bool {
    values.is_empty() || values.iter().any(|v| v == value)
}

fn matches(rule: &Rule, call: &Call) -> bool {
    names(&rule.caller_regions, call.caller)
        && names(&rule.gateway_regions, call.gateway)
        && names(&rule.classes, call.class)
}

fn key(call: &Call) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = rustc_hash::FxHasher::default();
    call.hash(&mut hasher);
    hasher.finish()
}

fn is_like(like: &[String; 4], call: &Call) -> bool {
    like.iter()
        .zip([call.caller, call.gateway, call.path, call.class])
        .all(|(a, b)| a == b)
}

impl Compiled {
    /// Makes a checked set ready.
    pub fn new(set: RuleSet) -> Compiled {
        let (mut whole, mut begins): (FxHashMap<String, Vec<u32>>, FxHashMap<String, Vec<u32>>) =
            Default::default();
        let mut every = Vec::new();
        for (place, rule) in set.rules.iter().enumerate() {
            let place = place as u32;
            if rule.routes.is_empty() {
                every.push(place);
            }
            for route in &rule.routes {
                let list = match route.strip_suffix('*') {
                    Some(beginning) => begins.entry(beginning.to_string()).or_default(),
                    None => whole.entry(route.clone()).or_default(),
                };
                if list.last() != Some(&place) {
                    list.push(place);
                }
            }
        }
        let mut lengths: Vec<usize> = begins.keys().map(String::len).collect();
        lengths.sort_unstable();
        lengths.dedup();
        Compiled {
            set,
            whole,
            begins,
            lengths,
            every,
            known: RefCell::default(),
        }
    }

    /// The set.
    pub fn set(&self) -> &RuleSet {
        &self.set
    }
    /// What holds without a session.
    pub fn stale(&self) -> Stale {
        self.set.stale
    }
    /// The id of the rule that decided; `default` for none.
    pub fn id(&self, rule: Option<u32>) -> &str {
        rule.and_then(|r| self.set.rules.get(r as usize))
            .map_or("default", |r| r.id.as_str())
    }

    /// What the set says of a call: the first rule that matches, or the default.
    pub fn decide(&self, call: &Call) -> Decision {
        let key = key(call);
        let mut known = self.known.borrow_mut();
        match known.get(&key) {
            // The whole call is compared: another one of the same key must not hear its answer.
            Some((like, decision)) if is_like(like, call) => return *decision,
            Some(_) => return self.look(call),
            None => {}
        }
        let decision = self.look(call);
        if known.len() >= REMEMBERED {
            known.clear();
        }
        let owned = [call.caller, call.gateway, call.path, call.class].map(str::to_string);
        known.insert(key, (Box::new(owned), decision));
        decision
    }

    fn look(&self, call: &Call) -> Decision {
        let first = |list: &Vec<u32>| {
            list.iter()
                .copied()
                .find(|&place| matches(&self.set.rules[place as usize], call))
        };
        let beginnings = self
            .lengths
            .iter()
            .filter_map(|&length| call.path.get(..length));
        let lists = beginnings.filter_map(|b| self.begins.get(b));
        let lists = lists.chain(self.whole.get(call.path)).chain([&self.every]);
        match lists.filter_map(first).min() {
            Some(place) => Decision {
                action: self.set.rules[place as usize].action,
                rule: Some(place),
            },
            None => Decision {
                action: self.set.default,
                rule: None,
            },
        }
    }
}
