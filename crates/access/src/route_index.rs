//! The rules of a set that may match a path, found without reading all rules.

use crate::{Rule, RuleIndex};
use rustc_hash::FxHashMap;

/// A route that ends with this matches every path that begins with the rest of it.
const WILDCARD: char = '*';

/// Rules by their routes. Each list of rules is in the order of the set.
#[derive(Debug, Default)]
pub(crate) struct RouteIndex {
    by_path: FxHashMap<String, Vec<RuleIndex>>,
    by_prefix: FxHashMap<String, Vec<RuleIndex>>,
    /// Lengths of all prefixes in bytes, ascending.
    prefix_lengths: Vec<usize>,
    /// Rules without routes, which match every path.
    for_every_path: Vec<RuleIndex>,
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
            self.for_every_path.push(position);
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

    /// Lists of the rules whose routes match the path.
    pub(crate) fn candidates<'a>(&'a self, path: &'a str) -> impl Iterator<Item = &'a [RuleIndex]> {
        self.prefix_lengths
            .iter()
            .filter_map(move |&length| path.get(..length))
            .filter_map(|prefix| self.by_prefix.get(prefix))
            .chain(self.by_path.get(path))
            .chain([&self.for_every_path])
            .map(Vec::as_slice)
    }
}
