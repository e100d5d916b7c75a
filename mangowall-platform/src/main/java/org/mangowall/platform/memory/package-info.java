/** A platform within the process, for tests and measurements on a paused clock. */
package org.mangowall.platform.memory;
