//! Maps caller addresses to regions by address prefix.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use std::net::IpAddr;

/// Maximum number of prefixes in one table.
const MAX_PREFIXES: usize = 1_000_000;
/// Starts a comment that extends to the end of the line.
const COMMENT_START: char = '#';

/// Why a region table is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum RegionError {
    /// A line does not consist of a prefix and a region.
    #[error("line {line}: expected a prefix as 10.0.0.0/8 and a region, found '{found}'")]
    #[diagnostic(
        code(chalkdeck::access::prefix),
        help("one prefix and one region a line, parted by a space; '#' begins a remark")
    )]
    InvalidLine {
        /// The line number, from 1.
        line: usize,
        /// The line without its comment.
        found: String,
    },
    /// A prefix occurs twice.
    #[error("line {line}: {found} stands twice")]
    #[diagnostic(
        code(chalkdeck::access::prefix_twice),
        help("one region for each prefix; give the part that differs as a longer prefix")
    )]
    DuplicatePrefix {
        /// The line number of the second occurrence, from 1.
        line: usize,
        /// The prefix.
        found: String,
    },
    /// The table has too many prefixes.
    #[error("expected at most {MAX_PREFIXES} prefixes")]
    #[diagnostic(
        code(chalkdeck::access::prefixes),
        help("join neighbouring prefixes of one region")
    )]
    TooManyPrefixes,
}

/// Regions by address prefix.
#[derive(Clone, Debug, Default)]
pub struct RegionTable {
    v4: PrefixMap<Ipv4Net, String>,
    v6: PrefixMap<Ipv6Net, String>,
}

impl RegionTable {
    /// Parses a table that has one prefix and its region on each line.
    ///
    /// # Errors
    /// A line is not a prefix and a region, a prefix occurs twice, or there are too many prefixes.
    pub fn parse(text: &str) -> Result<RegionTable, RegionError> {
        let mut table = RegionTable::default();
        let mut prefixes = 0;
        for (index, whole_line) in text.lines().enumerate() {
            let line = whole_line.split(COMMENT_START).next().unwrap_or("").trim();
            if line.is_empty() {
                continue;
            }
            table.insert_line(index + 1, line)?;
            prefixes += 1;
            if prefixes > MAX_PREFIXES {
                return Err(RegionError::TooManyPrefixes);
            }
        }
        Ok(table)
    }

    fn insert_line(&mut self, line_number: usize, line: &str) -> Result<(), RegionError> {
        let invalid = || RegionError::InvalidLine {
            line: line_number,
            found: line.to_string(),
        };
        let (prefix, region) = line.split_once(char::is_whitespace).ok_or_else(invalid)?;
        let prefix: IpNet = prefix.parse().map_err(|_| invalid())?;
        let prefix = prefix.trunc();
        let region = region.trim().to_string();
        let replaced = match prefix {
            IpNet::V4(net) => self.v4.insert(net, region),
            IpNet::V6(net) => self.v6.insert(net, region),
        };
        if replaced.is_some() {
            return Err(RegionError::DuplicatePrefix {
                line: line_number,
                found: prefix.to_string(),
            });
        }
        Ok(())
    }

    /// Returns the region of the longest prefix that contains the address, or `None` if no prefix does.
    pub fn region_of(&self, address: IpAddr) -> Option<&str> {
        match address.to_canonical() {
            IpAddr::V4(address) => {
                let entry = self.v4.get_lpm(&Ipv4Net::from(address));
                entry.map(|(_, region)| region.as_str())
            }
            IpAddr::V6(address) => {
                let entry = self.v6.get_lpm(&Ipv6Net::from(address));
                entry.map(|(_, region)| region.as_str())
            }
        }
    }
}
