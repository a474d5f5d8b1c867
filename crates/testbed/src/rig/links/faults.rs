//! What may be wrong with a link, one way or both, and the words that set it.

use std::collections::BTreeMap;

/// How long a lost segment takes to be sent again, in microseconds.
const RESEND: u64 = 200_000;

/// One way of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// Nothing gets through, and nobody is told: what was sent waits until the way heals, datagrams are lost.
    pub cut: bool,
    /// Time on the way and the most that chance adds, in microseconds.
    pub delay: u64,
    /// See `delay`.
    pub jitter: u64,
    /// Part that is lost: of datagrams for good, of streams until they are sent again.
    pub loss: f64,
    /// Bytes a second; 0: as many as there are.
    pub trickle: u64,
}

impl Way {
    /// When something that is sent now gets there; none: it is lost, as a datagram may be.
    pub fn arrival(&self, now: u64, rng: &mut fastrand::Rng, stream: bool) -> Option<u64> {
        let on_the_way = self.delay + (self.jitter as f64 * rng.f64()) as u64;
        let lost = self.loss > 0.0 && rng.f64() < self.loss;
        match (lost, stream) {
            (true, false) => None,
            (true, true) => Some(now + on_the_way + RESEND),
            (false, _) => Some(now + on_the_way),
        }
    }
}

/// Both ways of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// From the one who connects, and back to it.
    pub ways: [Way; 2],
}

/// Which links a command means, and what becomes of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Word {
    pub from: Option<String>,
    pub to: Option<String>,
    /// Connections are reset, once.
    pub reset: bool,
    /// Links of both directions between the two sites.
    pub both: bool,
    set: Vec<(String, f64)>,
    /// Which ways it is about.
    there: bool,
    back: bool,
}

impl Word {
    /// `from`, `to` (sites; absent: any), `both=1` (also from `to` to `from`), `way` (there, back or both), and any of
    /// `cut`, `delay_ms`, `jitter_ms`, `loss`, `trickle`, `heal`, `reset`.
    pub fn read(pairs: &BTreeMap<String, String>) -> Result<Word, String> {
        let mut word = Word {
            there: true,
            back: true,
            ..Word::default()
        };
        for (name, text) in pairs {
            match (name.as_str(), text.as_str()) {
                ("from", site) => word.from = Some(site.to_string()),
                ("to", site) => word.to = Some(site.to_string()),
                ("both", on) => word.both = on == "1",
                ("reset", _) => word.reset = true,
                ("way", "there") => word.back = false,
                ("way", "back") => word.there = false,
                ("way", "both") => {}
                ("way", other) => {
                    return Err(format!(
                        "way: expected there, back or both, found '{other}'\n"
                    ))
                }
                ("cut" | "delay_ms" | "jitter_ms" | "loss" | "trickle" | "heal", text) => {
                    let value: f64 = text
                        .parse()
                        .map_err(|_| format!("{name}: expected a number, found '{text}'\n"))?;
                    if !value.is_finite() || value < 0.0 || name == "loss" && value > 1.0 {
                        return Err(format!(
                            "{name}: expected a number of 0 or more, found '{text}'\n"
                        ));
                    }
                    word.set.push((name.clone(), value));
                }
                (other, _) => return Err(format!("expected a fault of a link, found '{other}'\n")),
            }
        }
        // What is healed is healed before anything else is set.
        word.set.sort_by_key(|(name, _)| name != "heal");
        Ok(word)
    }

    /// Whether a link between these sites is meant; one within a site only where both ends are named.
    pub fn means(&self, from: &str, to: &str) -> bool {
        if from == to && (self.from.is_none() || self.to.is_none()) {
            return false;
        }
        let one = |a: &str, b: &str| {
            self.from.as_deref().is_none_or(|f| f == a) && self.to.as_deref().is_none_or(|t| t == b)
        };
        one(from, to) || self.both && one(to, from)
    }

    /// The faults of such a link afterwards. Ways are named from `from` to `to`, also where the link runs the other way.
    pub fn on(&self, from: &str, faults: &mut Faults) {
        let turned = self.both && self.from.as_deref().is_some_and(|site| site != from);
        let chosen = if turned {
            [self.back, self.there]
        } else {
            [self.there, self.back]
        };
        for (way, _) in faults
            .ways
            .iter_mut()
            .zip(chosen)
            .filter(|(_, chosen)| *chosen)
        {
            for (name, value) in &self.set {
                match name.as_str() {
                    "cut" => way.cut = *value > 0.0,
                    "delay_ms" => way.delay = (value * 1e3) as u64,
                    "jitter_ms" => way.jitter = (value * 1e3) as u64,
                    "loss" => way.loss = *value,
                    "trickle" => way.trickle = *value as u64,
                    _ => *way = Way::default(),
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
