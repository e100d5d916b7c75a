/** A whole small fleet in one process, for newcomers. */
package org.mangowall.standin.demo;
