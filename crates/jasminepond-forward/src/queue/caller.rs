//! Identity of callers.

use std::{
    fmt,
    net::{IpAddr, Ipv6Addr},
    num::ParseIntError,
    str::FromStr,
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seeds that keep the hashes of credentials and of addresses apart.
const CREDENTIALS_SEED: u64 = 1;
const ADDRESS_SEED: u64 = 2;

/// Part of an IPv6 address that identifies a caller: one host commonly has a whole /64.
const IPV6_NETWORK: u128 = !(u64::MAX as u128);

/// Identifies a caller by a hash of its credentials or, without any, of its address. The hash
/// is equal on all daemons.
///
/// ```
/// use jasminepond_forward::CallerId;
///
/// let caller = CallerId::from_authorization(b"Bearer abc");
/// assert_ne!(caller, CallerId::from_authorization(b"Bearer abd"));
/// assert_eq!(caller.to_string().parse(), Ok(caller));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct CallerId(pub u64);

impl CallerId {
    /// The caller with this value of the `Authorization` header.
    pub fn from_authorization(value: &[u8]) -> Self {
        Self(xxh3_64_with_seed(value, CREDENTIALS_SEED))
    }

    /// The caller without credentials at this address.
    ///
    /// ```
    /// use jasminepond_forward::CallerId;
    ///
    /// let caller = |address: &str| CallerId::from_address(address.parse().unwrap());
    /// assert_ne!(caller("10.0.0.1"), caller("10.0.0.2"));
    /// assert_eq!(caller("10.0.0.1"), caller("::ffff:10.0.0.1"));
    /// assert_eq!(caller("2001:db8::1"), caller("2001:db8::2"));
    /// ```
    pub fn from_address(address: IpAddr) -> Self {
        let address = match address.to_canonical() {
            IpAddr::V4(address) => address.to_ipv6_mapped(),
            IpAddr::V6(address) => Ipv6Addr::from_bits(address.to_bits() & IPV6_NETWORK),
        };
        Self(xxh3_64_with_seed(&address.octets(), ADDRESS_SEED))
    }
}

impl fmt::Display for CallerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for CallerId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
