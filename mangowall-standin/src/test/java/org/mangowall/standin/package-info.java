/** Tests of the stand-ins. */
package org.mangowall.standin;
