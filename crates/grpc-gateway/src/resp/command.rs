//! Commands that ask for limits, and those that clients send as they connect.

use super::wire::Reply;
use bytes::Bytes;

/// A command with its words read.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Command {
    /// A plain ask: units are spent if there is room.
    Throttle {
        customer: String,
        units: f64,
    },
    /// Reserves units, and a place where the plan caps attempts out.
    Take {
        customer: String,
        units: f64,
        lease: Option<u64>,
    },
    /// Gives a place back, and settles the true units.
    Give {
        ticket: String,
        units: Option<f64>,
    },
    /// Looks and changes nothing.
    Peek {
        customer: String,
    },
    Hello {
        resp3: Option<bool>,
        password: Option<Bytes>,
    },
    Auth(Bytes),
    /// What is answered without a look at anything.
    Plain(Reply),
    Quit,
}

fn error<T>(text: impl Into<String>) -> Result<T, String> {
    Err(text.into())
}

fn text(word: &Bytes, what: &str) -> Result<String, String> {
    match std::str::from_utf8(word) {
        Ok(text) if !text.is_empty() => Ok(text.to_string()),
        _ => error(format!("ERR {what}: expected text")),
    }
}

fn number(word: &Bytes, what: &str) -> Result<f64, String> {
    let value = std::str::from_utf8(word)
        .ok()
        .and_then(|t| t.parse::<f64>().ok());
    match value.filter(|v| v.is_finite()) {
        Some(value) => Ok(value),
        None => error(format!(
            "ERR {what}: expected a number, found '{}'",
            word.escape_ascii()
        )),
    }
}

fn arity<T>(name: &str) -> Result<T, String> {
    error(format!(
        "ERR wrong number of arguments for '{}' command",
        name.to_ascii_lowercase()
    ))
}

/// Reads a command's words. Errors are answers in RESP's form, without their mark.
pub(crate) fn read(words: &[Bytes]) -> Result<Command, String> {
    let Some((first, rest)) = words.split_first() else {
        return error("ERR empty command");
    };
    let name = String::from_utf8_lossy(first).to_ascii_uppercase();
    let plain = |reply| Ok(Command::Plain(reply));
    match (name.as_str(), rest) {
        ("CL.THROTTLE", [customer, burst, count, period, units @ ..]) if units.len() <= 1 => {
            // The limits that the caller names are read and not used: the plan has them.
            for (word, what) in [(burst, "max_burst"), (count, "count"), (period, "period")] {
                number(word, what)?;
            }
            let units = units.first().map_or(Ok(1.0), |w| number(w, "quantity"))?;
            Ok(Command::Throttle {
                customer: text(customer, "key")?,
                units,
            })
        }
        ("CHALK.TAKE", [customer, options @ ..]) => take(text(customer, "customer")?, options),
        ("CHALK.GIVE", [ticket, options @ ..]) => {
            let units = match options {
                [] => None,
                [word, units] if word.eq_ignore_ascii_case(b"UNITS") => {
                    Some(number(units, "UNITS")?)
                }
                _ => return error("ERR syntax error: expected UNITS n"),
            };
            Ok(Command::Give {
                ticket: text(ticket, "ticket")?,
                units,
            })
        }
        ("CHALK.PEEK", [customer]) => Ok(Command::Peek {
            customer: text(customer, "customer")?,
        }),
        ("CL.THROTTLE" | "CHALK.TAKE" | "CHALK.GIVE" | "CHALK.PEEK", _) => arity(&name),
        ("HELLO", options) => hello(options),
        ("AUTH", [password] | [_, password]) => Ok(Command::Auth(password.clone())),
        ("AUTH", _) => arity(&name),
        ("PING", []) => plain(Reply::Pong),
        ("PING" | "ECHO", [word]) => plain(Reply::Bulk(word.clone())),
        ("QUIT", _) => Ok(Command::Quit),
        ("SELECT", [db]) if db.as_ref() == b"0" => plain(Reply::Ok),
        ("SELECT", _) => error("ERR DB index is out of range"),
        ("CLIENT", [sub, ..]) => client(&String::from_utf8_lossy(sub).to_ascii_uppercase()),
        ("COMMAND", _) => plain(Reply::Array(Vec::new())),
        ("RESET", []) => plain(Reply::Bulk(Bytes::from_static(b"RESET"))),
        _ => error(format!(
            "ERR unknown command '{}'",
            first.slice(..first.len().min(64)).escape_ascii()
        )),
    }
}

fn take(customer: String, options: &[Bytes]) -> Result<Command, String> {
    let (mut units, mut lease) = (1.0, None);
    for pair in options.chunks(2) {
        match pair {
            [word, value] if word.eq_ignore_ascii_case(b"UNITS") => units = number(value, "UNITS")?,
            [word, value] if word.eq_ignore_ascii_case(b"LEASE") => {
                let ms = number(value, "LEASE")?;
                if !(1.0..=86_400_000.0).contains(&ms) {
                    return error("ERR LEASE: expected 1 to 86400000 milliseconds");
                }
                lease = Some((ms * 1_000.0) as u64);
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

fn hello(options: &[Bytes]) -> Result<Command, String> {
    let (resp3, mut rest) = match options.split_first() {
        None => (None, options),
        Some((version, rest)) => match version.as_ref() {
            b"2" => (Some(false), rest),
            b"3" => (Some(true), rest),
            _ => return error("NOPROTO unsupported protocol version"),
        },
    };
    let mut password = None;
    while let Some((word, values)) = rest.split_first() {
        rest = match values {
            [_, secret, after @ ..] if word.eq_ignore_ascii_case(b"AUTH") => {
                password = Some(secret.clone());
                after
            }
            [_, after @ ..] if word.eq_ignore_ascii_case(b"SETNAME") => after,
            _ => return error("ERR syntax error in HELLO"),
        };
    }
    Ok(Command::Hello { resp3, password })
}

fn client(sub: &str) -> Result<Command, String> {
    let reply = match sub {
        "SETNAME" | "SETINFO" | "NO-EVICT" | "NO-TOUCH" | "TRACKING" => Reply::Ok,
        "GETNAME" => Reply::Null,
        "ID" => Reply::Integer(1),
        _ => {
            return error(format!(
                "ERR unknown subcommand '{}'",
                sub.chars().take(64).collect::<String>()
            ))
        }
    };
    Ok(Command::Plain(reply))
}

#[cfg(test)]
mod tests;
