//! Damage to stored state: synced bytes that were lost or changed.

use snafu::Snafu;

/// Why a stored state is discarded. An unfinished write at the end of the log is
/// not damage.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Damage {
    /// A record is missing or unreadable although a later one exists.
    #[snafu(display("record {missing} is missing or unreadable, but record {highest} exists"))]
    MissingRecord {
        /// The highest record number found.
        highest: u64,
        /// The number of the first missing record.
        missing: u64,
    },
    /// There is data, but neither file starts with a complete checkpoint.
    #[snafu(display("no file starts with a readable checkpoint"))]
    MissingCheckpoint,
    /// The image of the previous release cannot be decoded.
    #[snafu(display("the image of the previous release cannot be decoded"))]
    LegacyImage,
    /// The log of the previous release skips a batch.
    #[snafu(display("batch {batch} follows batch {previous} in the log of the previous release"))]
    LegacyGap {
        /// Number of the batch after the gap.
        batch: u64,
        /// Number of the last batch before the gap.
        previous: u64,
    },
    /// A batch before the last one in the log of the previous release is
    /// unreadable.
    #[snafu(display("batch {batch} in the log of the previous release cannot be read"))]
    LegacyBatch {
        /// Number of the unreadable batch.
        batch: u64,
    },
    /// `okaywal` cannot open the log of the previous release.
    #[snafu(display("the log of the previous release cannot be opened: {reason}"))]
    LegacyLog {
        /// The error of `okaywal` as text.
        reason: String,
    },
}
