use usher_types::{DataCentre, ServiceName, Span};

use crate::error::Cause;
use crate::expectation::Expectation;
use crate::fault::Fault;
use crate::report::is_figure;
use crate::simulation::Simulation;
use crate::statement::{Load, ServiceSpec, Statement};
use crate::{Report, ScenarioError};

const DEFAULT_RUN: Span = Span::from_secs(20);

/// A parsed scenario: the deployment, its faults and the expected figures.
///
/// ```
/// let scenario = usher_scenario::Scenario::parse("demo.txt", "seed 7\nrun 1s\n")?;
/// assert_eq!(scenario.seed(), 7);
/// # Ok::<(), usher_scenario::ScenarioError>(())
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    pub(crate) seed: u64,
    pub(crate) run: Span,
    pub(crate) services: Vec<ServiceSpec>,
    pub(crate) balancers: Option<(usize, DataCentre)>,
    pub(crate) loads: Vec<Load>,
    pub(crate) faults: Vec<(Span, Fault)>,
    pub(crate) expectations: Vec<Expectation>,
}

impl Scenario {
    /// Parses a scenario with one statement per line; `#` begins a comment.
    ///
    /// # Errors
    /// `MU-9001` to `MU-9004` with file and line.
    ///
    /// ```
    /// let error = usher_scenario::Scenario::parse("demo.txt", "dance").unwrap_err();
    /// assert!(error.to_string().ends_with("unknown statement \"dance\""));
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, ScenarioError> {
        let mut scenario = Self {
            seed: 0,
            run: DEFAULT_RUN,
            services: Vec::new(),
            balancers: None,
            loads: Vec::new(),
            faults: Vec::new(),
            expectations: Vec::new(),
        };
        for (index, line) in text.lines().enumerate() {
            let content = line.split('#').next().unwrap_or_default().trim();
            if !content.is_empty() {
                let position = Position {
                    file,
                    line: index + 1,
                };
                scenario.add(position, content)?;
            }
        }
        Ok(scenario)
    }

    /// Seed from the file, or 0 if it has none.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Runs the scenario in virtual time; equal seeds give equal reports.
    ///
    /// ```
    /// let scenario = usher_scenario::Scenario::parse("demo.txt", "run 1s\nexpect requests 0\n")?;
    /// assert!(scenario.run(7).failures.is_empty());
    /// # Ok::<(), usher_scenario::ScenarioError>(())
    /// ```
    pub fn run(&self, seed: u64) -> Report {
        Simulation::new(self, seed).run()
    }

    fn add(&mut self, position: Position<'_>, text: &str) -> Result<(), ScenarioError> {
        let statement =
            Statement::parse(position.line, text).map_err(|cause| position.error(text, cause))?;
        match statement {
            Statement::Seed(seed) => self.seed = seed,
            Statement::Run(span) => self.run = span,
            Statement::Balancers(count, centre) => self.balancers = Some((count, centre)),
            Statement::Service(spec) => self.services.push(spec),
            Statement::Load(load) => {
                self.check_service(position, &load.service)?;
                self.loads.push(load);
            }
            Statement::At(time, fault) => {
                if let Fault::OpenFlows(_, service) | Fault::StartHost(_, service) = &fault {
                    self.check_service(position, service)?;
                }
                self.faults.push((time, fault));
            }
            Statement::Expect(expectation) => {
                if !is_figure(&expectation.name) {
                    return Err(ScenarioError::Figure {
                        file: position.file.to_owned(),
                        line: position.line,
                        name: expectation.name,
                    });
                }
                self.expectations.push(expectation);
            }
        }
        Ok(())
    }

    fn check_service(
        &self,
        position: Position<'_>,
        name: &ServiceName,
    ) -> Result<(), ScenarioError> {
        if self.services.iter().any(|spec| spec.name == *name) {
            return Ok(());
        }
        Err(ScenarioError::Service {
            file: position.file.to_owned(),
            line: position.line,
            name: name.to_string(),
        })
    }
}

#[derive(Debug, Clone, Copy)]
struct Position<'a> {
    file: &'a str,
    line: usize,
}

impl Position<'_> {
    fn error(self, text: &str, cause: Cause) -> ScenarioError {
        let (file, line) = (self.file.to_owned(), self.line);
        match cause {
            Cause::Statement => ScenarioError::Statement {
                file,
                line,
                text: text.to_owned(),
            },
            Cause::Value(cause) => ScenarioError::Value { file, line, cause },
        }
    }
}
