//! Hash functions and a random number generator with the same results on all nodes.

/// A stable hash of two numbers (the finalizer of MurmurHash3).
pub fn mix(a: u64, b: u64) -> u64 {
    let mut h = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31);
    h ^= h >> 33;
    h = h.wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^= h >> 33;
    h = h.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    h ^ (h >> 33)
}

/// A stable hash of a name (FNV-1a, then [`mix`]).
pub fn name(s: &str) -> u64 {
    let h = s.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, x| {
        (h ^ u64::from(x)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(h, 0)
}

/// Maps a hash to a number in (0, 1].
pub fn unit(h: u64) -> f64 {
    ((h >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// A seeded random number generator (SplitMix64, with [`mix`] as its finalizer).
#[derive(Clone, Debug)]
pub struct SplitMix64(pub u64);

impl SplitMix64 {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0, 1)
    }

    /// A random number in (0, 1].
    pub fn unit(&mut self) -> f64 {
        unit(self.next())
    }
}

/// A hasher for `u64` keys, by [`mix`].
#[derive(Clone, Copy, Default)]
pub struct U64Hasher(u64);

impl std::hash::Hasher for U64Hasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, b: &[u8]) {
        self.0 = b.iter().fold(self.0, |h, x| mix(h, u64::from(*x)));
    }

    fn write_u64(&mut self, x: u64) {
        self.0 = mix(self.0, x);
    }
}

pub type U64HashBuilder = std::hash::BuildHasherDefault<U64Hasher>;
