//! The names with the most adds of late, in bounded memory: the space-saving sketch of Metwally, Agrawal and El Abbadi (2005),
//! its counts halved now and then so that old heat fades.

use rustc_hash::FxHashMap;

/// Names that are followed.
const FOLLOWED: usize = 1_024;
/// Adds between halvings.
const HALVE: u64 = 1 << 18;

/// A sketch of the hottest names. A name with more than one in `FOLLOWED` of the adds is in it.
#[derive(Debug, Default)]
pub struct Top {
    heat: FxHashMap<u64, u64>,
    seen: u64,
    /// The least heat when it was last looked for; none is below.
    least: u64,
}

impl Top {
    /// A name was added to.
    pub fn hit(&mut self, name: u64) {
        self.seen += 1;
        if self.seen.is_multiple_of(HALVE) {
            self.heat.values_mut().for_each(|h| *h /= 2);
            self.least /= 2;
        }
        if let Some(heat) = self.heat.get_mut(&name) {
            *heat += 1;
        } else if self.heat.len() < FOLLOWED {
            self.heat.insert(name, 1);
        } else {
            self.replace(name);
        }
    }

    /// A new name takes the place, and the heat, of the coolest ones: a quarter go at once, so that a flood of new names
    /// costs a look at all of them seldom.
    fn replace(&mut self, name: u64) {
        let mut heats: Vec<u64> = self.heat.values().copied().collect();
        let (_, cut, _) = heats.select_nth_unstable(FOLLOWED / 4);
        self.least = *cut;
        let cut = *cut;
        let mut spare = FOLLOWED / 4;
        self.heat.retain(|_, h| {
            let goes = *h <= cut && spare > 0;
            spare -= usize::from(goes);
            !goes
        });
        self.heat.insert(name, cut + 1);
    }

    /// The hottest names with their adds of late, at most too many by `error`.
    pub fn hottest(&self, most: usize) -> Vec<(u64, u64)> {
        let mut all: Vec<(u64, u64)> = self.heat.iter().map(|(n, h)| (*n, *h)).collect();
        all.sort_unstable_by_key(|&(name, heat)| (std::cmp::Reverse(heat), name));
        all.truncate(most);
        all
    }

    /// How much too hot a name may look.
    pub fn error(&self) -> u64 {
        self.least
    }
}

#[cfg(test)]
mod tests;
