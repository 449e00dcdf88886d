//! A small seeded generator, so that every run can be repeated.

#[derive(Clone, Debug)]
pub struct Rand(u64);

impl Rand {
    pub fn new(seed: u64) -> Rand {
        let mut r = Rand(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        r.draw();
        r.draw();
        r
    }

    pub fn draw(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Below `n`; nothing is below nothing.
    pub fn below(&mut self, n: u64) -> u64 {
        (self.draw() >> 11) % n.max(1)
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
