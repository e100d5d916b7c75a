/** Small stand-ins for the platform, runners and callers, for newcomers, tests and measurements. */
package org.mangowall.standin;
