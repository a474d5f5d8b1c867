//! Where a caller is: told by a trusted front, or by the longest prefix of its address.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use std::net::IpAddr;

/// Prefixes of one table.
const MOST: usize = 1_000_000;

/// Why a table is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum RegionError {
    /// Not a prefix.
    #[error("line {line}: expected a prefix as 10.0.0.0/8 and a region, found '{found}'")]
    #[diagnostic(
        code(chalkdeck::access::prefix),
        help("one prefix and one region a line, parted by a space; '#' begins a remark")
    )]
    Prefix {
        /// The line, from 1.
        line: usize,
        /// What stood there.
        found: String,
    },
    /// Twice the same prefix.
    #[error("line {line}: {found} stands twice")]
    #[diagnostic(
        code(chalkdeck::access::prefix_twice),
        help("one region for each prefix; give the part that differs as a longer prefix")
    )]
    Twice {
        /// The line, from 1.
        line: usize,
        /// The prefix.
        found: String,
    },
    /// More prefixes than are taken.
    #[error("expected at most {MOST} prefixes")]
    #[diagnostic(
        code(chalkdeck::access::prefixes),
        help("join neighbouring prefixes of one region")
    )]
    TooMany,
}

/// A table of prefixes.
#[derive(Clone, Debug, Default)]
pub struct Regions {
    v4: PrefixMap<Ipv4Net, String>,
    v6: PrefixMap<Ipv6Net, String>,
}

impl Regions {
    /// Reads a table: a prefix and a region a line. Errors name the line.
    pub fn read(text: &str) -> Result<Regions, RegionError> {
        let mut regions = Regions::default();
        let mut count = 0;
        for (i, whole) in text.lines().enumerate() {
            let line = whole.split('#').next().unwrap_or("").trim();
            if line.is_empty() {
                continue;
            }
            let wrong = || RegionError::Prefix {
                line: i + 1,
                found: line.to_string(),
            };
            let (prefix, region) = line.split_once(char::is_whitespace).ok_or_else(wrong)?;
            let prefix: IpNet = prefix.parse().map_err(|_| wrong())?;
            let region = region.trim().to_string();
            let before = match prefix.trunc() {
                IpNet::V4(net) => regions.v4.insert(net, region),
                IpNet::V6(net) => regions.v6.insert(net, region),
            };
            if before.is_some() {
                return Err(RegionError::Twice {
                    line: i + 1,
                    found: prefix.trunc().to_string(),
                });
            }
            count += 1;
            if count > MOST {
                return Err(RegionError::TooMany);
            }
        }
        Ok(regions)
    }

    /// The region of an address, by its longest prefix; none: no prefix holds it.
    pub fn of(&self, address: IpAddr) -> Option<&str> {
        match address.to_canonical() {
            IpAddr::V4(a) => self.v4.get_lpm(&Ipv4Net::from(a)).map(|(_, r)| r.as_str()),
            IpAddr::V6(a) => self.v6.get_lpm(&Ipv6Net::from(a)).map(|(_, r)| r.as_str()),
        }
    }
}
