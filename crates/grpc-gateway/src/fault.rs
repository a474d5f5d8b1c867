//! Faults put into the carrying code at run time, so that an audit of what crosses the sockets can be seen to fail.

use std::fs::File;
use std::str::FromStr;

/// Memory that [`Fault::Leak`] leaves behind, in bytes.
const LEAKED_BYTES: usize = 256 << 10;

/// What [`Fault::Leak`] leaves behind of one call.
pub(crate) struct Leaked {
    _file: Option<File>,
    _memory: Vec<u8>,
}

impl Leaked {
    pub(crate) fn new() -> Leaked {
        Leaked {
            _file: File::open("/dev/null").ok(),
            _memory: vec![1; LEAKED_BYTES],
        }
    }
}

/// One fault for each of the five rules, and for each further check of the soak.
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
    /// A graceful shutdown never ends.
    Linger,
    /// Each call's end leaves a descriptor open and memory behind.
    Leak,
    /// Each reload is logged as an error.
    Complain,
    /// After a reload no more calls are admitted.
    Shut,
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
            "linger" => Fault::Linger,
            "leak" => Fault::Leak,
            "complain" => Fault::Complain,
            "shut" => Fault::Shut,
            _ => {
                return Err(format!(
                    "fault: expected lose, repeat, drains, cold, ceiling, linger, leak, complain or shut, found '{text}'"
                ))
            }
        })
    }
}
