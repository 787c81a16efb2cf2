use std::io;

use super::args::CallerArgs;
use super::driver::Driver;

impl CallerArgs {
    /// Runs the load and prints the result.
    ///
    /// True if no outcome is unknown, no flow broke and no answer came from another service.
    ///
    /// # Errors
    /// Fails when the socket cannot be opened.
    pub fn run(self) -> io::Result<bool> {
        let json = self.json;
        let tally = Driver::new(self)?.run()?;
        if json {
            println!("{}", tally.json());
        } else {
            println!("{tally}");
        }
        Ok(tally.is_clean())
    }
}
