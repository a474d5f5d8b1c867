//! The faults of a link, in one direction or both, and the commands that set them.

use std::collections::BTreeMap;

/// Time after which a lost segment of a stream is retransmitted, in microseconds.
const RETRANSMIT_DELAY_US: u64 = 200_000;

/// The faults of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DirectionFaults {
    /// Silently blocks all traffic: stream data waits until the direction is healed, datagrams are lost.
    pub is_cut: bool,
    /// Fixed delay, in microseconds.
    pub delay_us: u64,
    /// Maximum random delay that is added to `delay_us`, in microseconds.
    pub jitter_us: u64,
    /// Fraction that is lost: of datagrams for good, of stream data until its retransmission.
    pub loss: f64,
    /// Throughput limit of a stream; 0 means no limit.
    pub bytes_per_second: u64,
}

impl DirectionFaults {
    /// When data that is sent now arrives; `None` for a lost datagram. Lost stream data arrives after a retransmission.
    pub fn arrival_time(&self, now: u64, rng: &mut fastrand::Rng, is_stream: bool) -> Option<u64> {
        let delay_us = self.delay_us + (self.jitter_us as f64 * rng.f64()) as u64;
        let is_lost = self.loss > 0.0 && rng.f64() < self.loss;
        match (is_lost, is_stream) {
            (true, false) => None,
            (true, true) => Some(now + delay_us + RETRANSMIT_DELAY_US),
            (false, _) => Some(now + delay_us),
        }
    }
}

/// The faults of both directions of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// From the connecting side to the target (forward), and from the target to the connecting side (backward).
    pub directions: [DirectionFaults; 2],
}

/// A command: which links it applies to, and the faults to set on them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkCommand {
    /// The connecting site; `None` for any.
    pub from: Option<String>,
    /// The site of the target; `None` for any.
    pub to: Option<String>,
    /// Resets the open connections, once.
    pub has_reset: bool,
    /// Applies to the links from `to` to `from` too.
    pub is_bidirectional: bool,
    /// Names and values of the faults to set.
    settings: Vec<(String, f64)>,
    /// Whether the command applies to the direction from `from` to `to`.
    is_forward: bool,
    /// Whether the command applies to the direction from `to` to `from`.
    is_backward: bool,
}

impl LinkCommand {
    /// Parses the query parameters of a command: `from` and `to` (sites; any if absent), `both=1` (also the links from `to` to
    /// `from`), `way` (the direction: `there`, `back` or `both`), and any of `cut`, `delay_ms`, `jitter_ms`, `loss`, `trickle`,
    /// `heal` and `reset`.
    pub fn parse(pairs: &BTreeMap<String, String>) -> Result<LinkCommand, String> {
        let mut command = LinkCommand {
            is_forward: true,
            is_backward: true,
            ..LinkCommand::default()
        };
        for (name, text) in pairs {
            match (name.as_str(), text.as_str()) {
                ("from", site) => command.from = Some(site.to_string()),
                ("to", site) => command.to = Some(site.to_string()),
                ("both", on) => command.is_bidirectional = on == "1",
                ("reset", _) => command.has_reset = true,
                ("way", "there") => command.is_backward = false,
                ("way", "back") => command.is_forward = false,
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
                    command.settings.push((name.clone(), value));
                }
                (other, _) => return Err(format!("expected a fault of a link, found '{other}'\n")),
            }
        }
        // `heal` comes first, as it clears all faults.
        command.settings.sort_by_key(|(name, _)| name != "heal");
        Ok(command)
    }

    /// Whether the command applies to a link between these sites. A link within a site matches only if the command names both
    /// `from` and `to`.
    pub fn applies_to(&self, from: &str, to: &str) -> bool {
        if from == to && (self.from.is_none() || self.to.is_none()) {
            return false;
        }
        let matches = |a: &str, b: &str| {
            self.from.as_deref().is_none_or(|f| f == a) && self.to.as_deref().is_none_or(|t| t == b)
        };
        matches(from, to) || self.is_bidirectional && matches(to, from)
    }

    /// Sets the faults of a link that connects from the site `from`. The command's forward direction is the one from its `from` to
    /// its `to`, also for a link that connects the other way.
    pub fn apply(&self, from: &str, faults: &mut LinkFaults) {
        let is_reversed =
            self.is_bidirectional && self.from.as_deref().is_some_and(|site| site != from);
        let is_affected = if is_reversed {
            [self.is_backward, self.is_forward]
        } else {
            [self.is_forward, self.is_backward]
        };
        for (direction, _) in faults
            .directions
            .iter_mut()
            .zip(is_affected)
            .filter(|(_, is_affected)| *is_affected)
        {
            for (name, value) in &self.settings {
                match name.as_str() {
                    "cut" => direction.is_cut = *value > 0.0,
                    "delay_ms" => direction.delay_us = (value * 1e3) as u64,
                    "jitter_ms" => direction.jitter_us = (value * 1e3) as u64,
                    "loss" => direction.loss = *value,
                    "trickle" => direction.bytes_per_second = *value as u64,
                    _ => *direction = DirectionFaults::default(),
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
