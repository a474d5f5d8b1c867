//! Fault injection: faults that are switched on at run time to verify that the audits of the testbed detect them.

use std::fs::File;
use std::str::FromStr;

/// The memory that [`Fault::Leak`] leaks for each call, in bytes.
const LEAKED_BYTES: usize = 256 << 10;

/// The resources that [`Fault::Leak`] leaks for one call.
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

/// One fault for each of the five safety rules and for each further check of the soak test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The gateway's own final answers, rejections and failures, are not sent.
    Lose,
    /// Every attempt is sent twice.
    Repeat,
    /// Draining endpoints of the list count as in service.
    Drains,
    /// All attempts are sent to the newest endpoint: the last one on the list with a start time. This violates slow start.
    Cold,
    /// Rejected calls are forwarded to an endpoint.
    Ceiling,
    /// A graceful shutdown never ends.
    Linger,
    /// Each completed call leaks a file descriptor and memory.
    Leak,
    /// Each reload is logged as an error.
    Complain,
    /// After a reload all new calls are answered with UNAVAILABLE.
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
