//! An index that finds the rules whose routes match a path without scanning the whole set.

use crate::{Rule, RuleIndex};
use rustc_hash::FxHashMap;

/// At the end of a route, makes it match every path that starts with the text before it.
const WILDCARD: char = '*';

/// Rules by route. Each list of rules is in the order of the set.
#[derive(Debug, Default)]
pub(crate) struct RouteIndex {
    by_path: FxHashMap<String, Vec<RuleIndex>>,
    by_prefix: FxHashMap<String, Vec<RuleIndex>>,
    /// The distinct lengths of the prefixes in bytes, ascending.
    prefix_lengths: Vec<usize>,
    /// Rules without routes, which match every path.
    without_routes: Vec<RuleIndex>,
}

impl RouteIndex {
    pub(crate) fn new(rules: &[Rule]) -> RouteIndex {
        let mut index = RouteIndex::default();
        for (position, rule) in rules.iter().enumerate() {
            index.add(RuleIndex(position as u32), rule);
        }
        index.prefix_lengths = index.by_prefix.keys().map(String::len).collect();
        index.prefix_lengths.sort_unstable();
        index.prefix_lengths.dedup();
        index
    }

    fn add(&mut self, position: RuleIndex, rule: &Rule) {
        if rule.routes.is_empty() {
            self.without_routes.push(position);
        }
        for route in &rule.routes {
            let rules = match route.strip_suffix(WILDCARD) {
                Some(prefix) => self.by_prefix.entry(prefix.to_string()).or_default(),
                None => self.by_path.entry(route.clone()).or_default(),
            };
            if rules.last() != Some(&position) {
                rules.push(position);
            }
        }
    }

    /// Returns lists of the rules whose routes match the path.
    pub(crate) fn candidates<'a>(&'a self, path: &'a str) -> impl Iterator<Item = &'a [RuleIndex]> {
        self.prefix_lengths
            .iter()
            .filter_map(move |&length| path.get(..length))
            .filter_map(|prefix| self.by_prefix.get(prefix))
            .chain(self.by_path.get(path))
            .chain([&self.without_routes])
            .map(Vec::as_slice)
    }
}
