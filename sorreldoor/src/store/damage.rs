//! Loss of bytes that had been synced.

use snafu::Snafu;

/// Why a stored state cannot be trusted. A write that was never finished is
/// no damage.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Damage {
    /// A later record exists, so a synced one before it was lost.
    #[snafu(display("record {highest} is there but not {missing}"))]
    MissingRecord {
        /// The highest record number found.
        highest: u64,
        /// The number of the first record that is lost.
        missing: u64,
    },
    /// Both files hold data, but neither starts with a checkpoint.
    #[snafu(display("no checkpoint can be read"))]
    MissingCheckpoint,
    /// The image of the previous release cannot be decoded.
    #[snafu(display("the image cannot be read"))]
    LegacyImage,
    /// The log of the previous release skips a batch.
    #[snafu(display("batch {batch} follows batch {previous}"))]
    LegacyGap {
        /// Number of the batch after the gap.
        batch: u64,
        /// Number of the last batch before the gap.
        previous: u64,
    },
    /// A batch in the log of the previous release is lost.
    #[snafu(display("batch {batch} cannot be read"))]
    LegacyBatch {
        /// Number of the lost batch.
        batch: u64,
    },
    /// `okaywal` refuses the log of the previous release.
    #[snafu(display("{reason}"))]
    LegacyLog {
        /// The error of `okaywal` as text.
        reason: String,
    },
}
