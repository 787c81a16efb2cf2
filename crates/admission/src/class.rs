/// Class of a request, by its service time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Class {
    Short,
    Long,
}
