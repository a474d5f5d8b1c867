//! Faults put into the carrying code at run time, so that an audit of what crosses the sockets can be seen to fail.

use std::str::FromStr;

/// One fault for each of the five rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Some final answers are not sent.
    Lose,
    /// Every attempt goes out twice.
    Repeat,
    /// Drains on the list are not told.
    Drains,
    /// All calls go to the server that started last.
    Cold,
    /// What is refused is sent on all the same.
    Ceiling,
}

impl FromStr for Fault {
    type Err = String;
    fn from_str(text: &str) -> Result<Fault, String> {
        Ok(match text {
            "lose" => Fault::Lose,
            "repeat" => Fault::Repeat,
            "drains" => Fault::Drains,
            "cold" => Fault::Cold,
            "ceiling" => Fault::Ceiling,
            _ => {
                return Err(format!(
                    "fault: expected lose, repeat, drains, cold or ceiling, found '{text}'"
                ))
            }
        })
    }
}
