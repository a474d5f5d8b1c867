//! Parses RESP commands: requests for admission, and the commands that clients send when they connect.

use super::reply::Reply;
use bytes::Bytes;

/// A parsed command.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Command {
    /// `CL.THROTTLE`: spends units if the quota allows it, and holds nothing afterwards.
    Throttle {
        customer: String,
        units: f64,
    },
    /// `CHALK.TAKE`: reserves units, and a concurrency slot if the plan limits concurrency, until the ticket is returned.
    Take {
        customer: String,
        units: f64,
        /// In microseconds; `None`: the lease of the settings.
        lease: Option<u64>,
    },
    /// `CHALK.GIVE`: returns a ticket, and settles the units that were really used.
    Give {
        ticket: String,
        /// `None`: the reserved units.
        units: Option<f64>,
    },
    /// `CHALK.PEEK`: reads the state of a quota and spends nothing.
    Peek {
        customer: String,
    },
    Hello {
        /// `None`: the protocol version stays as it is.
        uses_resp3: Option<bool>,
        password: Option<Bytes>,
    },
    /// `AUTH` with its password; the user name is ignored.
    Auth(Bytes),
    /// A command with a constant or echoed reply.
    FixedReply(Reply),
    Quit,
}

fn error<T>(text: impl Into<String>) -> Result<T, String> {
    Err(text.into())
}

fn parse_text(word: &Bytes, what: &str) -> Result<String, String> {
    match std::str::from_utf8(word) {
        Ok(text) if !text.is_empty() => Ok(text.to_string()),
        _ => error(format!("ERR {what}: expected text")),
    }
}

fn parse_number(word: &Bytes, what: &str) -> Result<f64, String> {
    let number = std::str::from_utf8(word)
        .ok()
        .and_then(|text| text.parse::<f64>().ok());
    match number.filter(|number| number.is_finite()) {
        Some(number) => Ok(number),
        None => error(format!(
            "ERR {what}: expected a number, found '{}'",
            word.escape_ascii()
        )),
    }
}

fn wrong_argument_count<T>(name: &str) -> Result<T, String> {
    error(format!(
        "ERR wrong number of arguments for '{}' command",
        name.to_ascii_lowercase()
    ))
}

/// Parses the words of a command.
///
/// # Errors
/// The text of the error reply, without its leading `-`.
pub(crate) fn parse(words: &[Bytes]) -> Result<Command, String> {
    let Some((first, rest)) = words.split_first() else {
        return error("ERR empty command");
    };
    let name = String::from_utf8_lossy(first).to_ascii_uppercase();
    let fixed_reply = |reply| Ok(Command::FixedReply(reply));
    match (name.as_str(), rest) {
        ("CL.THROTTLE", [customer, burst, count, period, units @ ..]) if units.len() <= 1 => {
            // The limits that the caller sends must be numbers but are otherwise ignored: the customer's plan sets the limits.
            for (word, argument) in [(burst, "max_burst"), (count, "count"), (period, "period")] {
                parse_number(word, argument)?;
            }
            let units = units
                .first()
                .map_or(Ok(1.0), |word| parse_number(word, "quantity"))?;
            Ok(Command::Throttle {
                customer: parse_text(customer, "key")?,
                units,
            })
        }
        ("CHALK.TAKE", [customer, options @ ..]) => {
            parse_take(parse_text(customer, "customer")?, options)
        }
        ("CHALK.GIVE", [ticket, options @ ..]) => {
            let units = match options {
                [] => None,
                [word, units] if word.eq_ignore_ascii_case(b"UNITS") => {
                    Some(parse_number(units, "UNITS")?)
                }
                _ => return error("ERR syntax error: expected UNITS n"),
            };
            Ok(Command::Give {
                ticket: parse_text(ticket, "ticket")?,
                units,
            })
        }
        ("CHALK.PEEK", [customer]) => Ok(Command::Peek {
            customer: parse_text(customer, "customer")?,
        }),
        ("CL.THROTTLE" | "CHALK.TAKE" | "CHALK.GIVE" | "CHALK.PEEK", _) => {
            wrong_argument_count(&name)
        }
        ("HELLO", options) => parse_hello(options),
        ("AUTH", [password] | [_, password]) => Ok(Command::Auth(password.clone())),
        ("AUTH", _) => wrong_argument_count(&name),
        ("PING", []) => fixed_reply(Reply::Pong),
        ("PING" | "ECHO", [word]) => fixed_reply(Reply::Bulk(word.clone())),
        ("QUIT", _) => Ok(Command::Quit),
        ("SELECT", [database]) if database.as_ref() == b"0" => fixed_reply(Reply::Ok),
        ("SELECT", _) => error("ERR DB index is out of range"),
        ("CLIENT", [subcommand, ..]) => {
            parse_client(&String::from_utf8_lossy(subcommand).to_ascii_uppercase())
        }
        ("COMMAND", _) => fixed_reply(Reply::Array(Vec::new())),
        ("RESET", []) => fixed_reply(Reply::Bulk(Bytes::from_static(b"RESET"))),
        _ => error(format!(
            "ERR unknown command '{}'",
            first.slice(..first.len().min(64)).escape_ascii()
        )),
    }
}

fn parse_take(customer: String, options: &[Bytes]) -> Result<Command, String> {
    let (mut units, mut lease) = (1.0, None);
    for option in options.chunks(2) {
        match option {
            [word, value] if word.eq_ignore_ascii_case(b"UNITS") => {
                units = parse_number(value, "UNITS")?
            }
            [word, value] if word.eq_ignore_ascii_case(b"LEASE") => {
                let millis = parse_number(value, "LEASE")?;
                if !(1.0..=86_400_000.0).contains(&millis) {
                    return error("ERR LEASE: expected 1 to 86400000 milliseconds");
                }
                lease = Some((millis * 1_000.0) as u64);
            }
            _ => return error("ERR syntax error: expected UNITS n, LEASE ms"),
        }
    }
    Ok(Command::Take {
        customer,
        units,
        lease,
    })
}

fn parse_hello(options: &[Bytes]) -> Result<Command, String> {
    let (uses_resp3, mut rest) = match options.split_first() {
        None => (None, options),
        Some((version, rest)) => match version.as_ref() {
            b"2" => (Some(false), rest),
            b"3" => (Some(true), rest),
            _ => return error("NOPROTO unsupported protocol version"),
        },
    };
    let mut password = None;
    while let Some((option, values)) = rest.split_first() {
        rest = match values {
            [_, value, after @ ..] if option.eq_ignore_ascii_case(b"AUTH") => {
                password = Some(value.clone());
                after
            }
            [_, after @ ..] if option.eq_ignore_ascii_case(b"SETNAME") => after,
            _ => return error("ERR syntax error in HELLO"),
        };
    }
    Ok(Command::Hello {
        uses_resp3,
        password,
    })
}

fn parse_client(subcommand: &str) -> Result<Command, String> {
    let reply = match subcommand {
        "SETNAME" | "SETINFO" | "NO-EVICT" | "NO-TOUCH" | "TRACKING" => Reply::Ok,
        "GETNAME" => Reply::Null,
        "ID" => Reply::Integer(1),
        _ => {
            return error(format!(
                "ERR unknown subcommand '{}'",
                subcommand.chars().take(64).collect::<String>()
            ))
        }
    };
    Ok(Command::FixedReply(reply))
}

#[cfg(test)]
mod tests;
