/// Class of a request by the time that it occupies a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Class {
    Short,
    Long,
}
