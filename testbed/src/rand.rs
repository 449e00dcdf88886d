//! A small seeded generator (xorshift64), so that every run can be repeated.

/// A seeded pseudo-random generator; not for cryptography.
#[derive(Clone, Debug)]
pub struct Rand(u64);

impl Rand {
    /// A generator whose draws depend on the seed alone.
    pub fn new(seed: u64) -> Rand {
        let mut rand = Rand(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        rand.draw();
        rand.draw();
        rand
    }

    /// The next 64 bits.
    pub fn draw(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number in `0..n`; 0 if `n` is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        (self.draw() >> 11) % n.max(1)
    }

    /// Whether an event of the given probability, in percent, happens.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
